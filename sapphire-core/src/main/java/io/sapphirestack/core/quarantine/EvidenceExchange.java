package io.sapphirestack.core.quarantine;

import io.sapphirestack.core.id.InstanceId;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Messages that bring the entries of an {@link EvidenceTable} to the neighbours in the
 * dissemination tree. Each instance passes on every entry that is new to it. An entry may arrive
 * several times, so messages are applied whatever tree the sender uses. Not thread-safe.
 *
 * @param <T> type of an entry
 */
public final class EvidenceExchange<T> {

    private final EvidenceTable<T> table;
    private final EvidenceCodec<T> codec;
    private final Map<InstanceId, Long> sentVersions = new HashMap<>();

    private EvidenceExchange(EvidenceTable<T> table, EvidenceCodec<T> codec) {
        this.table = Objects.requireNonNull(table, "table");
        this.codec = codec;
    }

    /**
     * Creates an exchange of crash reports.
     *
     * @param reports reports that are sent and to which received ones are added
     * @return exchange
     */
    public static EvidenceExchange<CrashReport> ofReports(CrashReportTable reports) {
        return new EvidenceExchange<>(reports, new CrashReportCodec());
    }

    /**
     * Creates an exchange of the crash histories of requests.
     *
     * @param histories histories that are sent and to which received ones are added
     * @return exchange
     */
    public static EvidenceExchange<CrashHistory> ofHistories(CrashHistoryTable histories) {
        return new EvidenceExchange<>(histories, new CrashHistoryCodec());
    }

    /**
     * Encodes the entries that changed since the last message to a neighbour.
     *
     * @param neighbour neighbour
     * @return message, empty if there is nothing to send
     */
    public byte[] encodeFor(InstanceId neighbour) {
        long sentVersion = sentVersions.getOrDefault(neighbour, 0L);
        long version = table.version();
        if (version == sentVersion) {
            return new byte[0];
        }
        List<T> changed = table.changedSince(sentVersion);
        sentVersions.put(neighbour, version);
        ByteBuffer out = ByteBuffer.allocate(changed.stream().mapToInt(codec::sizeBytes).sum());
        changed.forEach(entry -> codec.write(out, entry));
        return out.array();
    }

    /**
     * Adds the entries of a message to the table.
     *
     * @param encoded message, possibly empty
     * @throws IllegalArgumentException if the message is malformed
     */
    public void receive(byte[] encoded) {
        if (encoded.length == 0) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(encoded);
        List<T> received = new ArrayList<>();
        try {
            while (in.hasRemaining()) {
                received.add(codec.read(in));
            }
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException(
                    "truncated entry in a message of " + encoded.length + " bytes", e);
        }
        table.merge(received);
    }

    /**
     * Makes the next message to a neighbour contain all entries.
     *
     * @param neighbour neighbour that may have missed a message
     */
    public void sendAllNext(InstanceId neighbour) {
        sentVersions.remove(neighbour);
    }

    /** Makes the next message to each neighbour contain all entries; for a changed tree. */
    public void sendAllNext() {
        sentVersions.clear();
    }
}
