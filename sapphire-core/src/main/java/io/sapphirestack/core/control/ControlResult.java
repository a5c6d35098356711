package io.sapphirestack.core.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ConfigRecord;
import java.util.List;

/** Answer of the replicated state machine to a command. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ControlResult.RecordAccepted.class, name = "recordAccepted"),
    @JsonSubTypes.Type(value = ControlResult.RecordConflict.class, name = "recordConflict"),
    @JsonSubTypes.Type(value = ControlResult.RecordRefused.class, name = "recordRefused"),
    @JsonSubTypes.Type(value = ControlResult.RecordHistory.class, name = "recordHistory"),
    @JsonSubTypes.Type(value = ControlResult.Joined.class, name = "joined"),
    @JsonSubTypes.Type(value = ControlResult.Applied.class, name = "applied"),
    @JsonSubTypes.Type(value = ControlResult.OrderGranted.class, name = "orderGranted"),
    @JsonSubTypes.Type(value = ControlResult.OrderReserved.class, name = "orderReserved"),
    @JsonSubTypes.Type(value = ControlResult.OrderReleased.class, name = "orderReleased"),
    @JsonSubTypes.Type(value = ControlResult.OrderDone.class, name = "orderDone"),
    @JsonSubTypes.Type(value = ControlResult.OrderKeyReused.class, name = "orderKeyReused"),
    @JsonSubTypes.Type(value = ControlResult.OrderLedgerFull.class, name = "orderLedgerFull"),
    @JsonSubTypes.Type(value = ControlResult.OrderNotFound.class, name = "orderNotFound"),
    @JsonSubTypes.Type(
            value = ControlResult.EndpointOrderIssued.class,
            name = "endpointOrderIssued"),
    @JsonSubTypes.Type(
            value = ControlResult.EndpointOrderOutstanding.class,
            name = "endpointOrderOutstanding")
})
public sealed interface ControlResult {

    /**
     * The change was accepted, or would be for a dry run.
     *
     * @param revision new revision of the record; for a dry run, the revision of the state that was
     *     examined
     */
    record RecordAccepted(long revision) implements ControlResult {}

    /**
     * The expected revision was not the current one.
     *
     * @param currentRevision current revision, 0 if the record does not exist
     * @param winnerChangeId change that set the current revision, empty if unknown
     * @param winnerOperator operator of that change, empty if unknown
     */
    record RecordConflict(long currentRevision, String winnerChangeId, String winnerOperator)
            implements ControlResult {}

    /**
     * The change is not acceptable.
     *
     * @param code stable machine-readable code
     * @param detail explanation
     */
    record RecordRefused(String code, String detail) implements ControlResult {}

    /**
     * Last versions of a record.
     *
     * @param versions versions, newest first; a deletion has a null JSON body
     */
    record RecordHistory(List<ConfigRecord> versions) implements ControlResult {}

    /**
     * The instance is live.
     *
     * @param ref incarnation that was assigned
     * @param index log index of the join
     */
    record Joined(InstanceRef ref, long index) implements ControlResult {}

    /**
     * The command was applied.
     *
     * @param index log index
     */
    record Applied(long index) implements ControlResult {}

    /**
     * The holder may dispatch the order, once.
     *
     * @param nonce identifier of the reservation
     */
    record OrderGranted(String nonce) implements ControlResult {}

    /**
     * The key is reserved by a holder and has no outcome yet.
     *
     * @param holder instance that may dispatch the order
     * @param nonce identifier of its reservation
     * @param bodyHash hash of the body that was reserved
     */
    record OrderReserved(InstanceRef holder, String nonce, String bodyHash)
            implements ControlResult {}

    /**
     * The order did not run under the last reservation.
     *
     * @param bodyHash hash of the body that was reserved
     */
    record OrderReleased(String bodyHash) implements ControlResult {}

    /**
     * The order ran.
     *
     * @param bodyHash hash of the body that ran
     * @param status HTTP status of the endpoint's answer
     * @param contentType media type of the answer
     * @param answer body of the answer
     */
    record OrderDone(String bodyHash, int status, String contentType, byte[] answer)
            implements ControlResult {}

    /** The key was used with another body. */
    record OrderKeyReused() implements ControlResult {}

    /** The ledger holds as many outcomes as it may; the order was not reserved. */
    record OrderLedgerFull() implements ControlResult {}

    /** No order with this key is known. */
    record OrderNotFound() implements ControlResult {}

    /**
     * The order to the engine may be sent.
     *
     * @param fencingToken token to send with it
     */
    record EndpointOrderIssued(long fencingToken) implements ControlResult {}

    /**
     * Another order to the engine is outstanding.
     *
     * @param fencingToken token of the outstanding order
     */
    record EndpointOrderOutstanding(long fencingToken) implements ControlResult {}
}
