package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import java.util.Optional;

/**
 * Asks a voter for the newest version of a record. The leader confirms its leadership with a
 * majority first, so the reply contains every change accepted before the request; nothing is
 * written.
 *
 * @param key key of the record
 * @param forwarded whether another voter has forwarded the request; it is not forwarded again
 * @param omitsContent whether the reply leaves out the content of a record written by {@link
 *     ControlCommand.PutNewest}; {@code false} in requests of earlier releases
 */
@PeerMessage(code = 8, reply = ReadRecordRequest.ReadRecordReply.class)
public record ReadRecordRequest(RecordKey key, boolean forwarded, boolean omitsContent)
        implements PeerRequest<ReadRecordRequest.ReadRecordReply> {

    /** Returns this request as a voter forwards it to the leader. */
    ReadRecordRequest toForwarded() {
        return new ReadRecordRequest(key, true, omitsContent);
    }

    /**
     * Reply to a {@link ReadRecordRequest}.
     *
     * @param confirmed whether the leadership was confirmed; otherwise there is no record
     * @param record the record, empty if there is none
     * @param leader address of the leader, empty if unknown
     */
    public record ReadRecordReply(boolean confirmed, Optional<ConfigRecord> record, String leader) {

        static ReadRecordReply unconfirmed(String leader) {
            return new ReadRecordReply(false, Optional.empty(), leader);
        }
    }
}
