package io.sapphirestack.core.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ConfigRecord;
import java.util.List;

/** Result of a command to the replicated state machine. */
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
     * The change was accepted or, for a dry run, would be accepted.
     *
     * @param revision new revision of the record; for a dry run, the revision of the view that the
     *     command was checked against
     */
    record RecordAccepted(long revision) implements ControlResult {}

    /**
     * The expected revision is not the current one.
     *
     * @param currentRevision current revision, 0 if the record does not exist
     * @param winnerChangeId identifier of the change that set the current revision, empty if
     *     unknown
     * @param winnerOperator name of the operator who made that change, empty if unknown
     */
    record RecordConflict(long currentRevision, String winnerChangeId, String winnerOperator)
            implements ControlResult {}

    /**
     * The change is invalid or not allowed in the current state.
     *
     * @param code stable machine-readable code
     * @param detail explanation for operators
     */
    record RecordRefused(String code, String detail) implements ControlResult {}

    /**
     * Most recent versions of a record.
     *
     * @param versions versions, newest first; a deletion has a null JSON body
     */
    record RecordHistory(List<ConfigRecord> versions) implements ControlResult {}

    /**
     * The instance is registered as live.
     *
     * @param ref instance with the incarnation that was assigned
     * @param index log index of the join command
     */
    record Joined(InstanceRef ref, long index) implements ControlResult {}

    /**
     * The command was applied.
     *
     * @param index log index of the command
     */
    record Applied(long index) implements ControlResult {}

    /**
     * The key is reserved; the holder may dispatch the order once.
     *
     * @param nonce identifier of the reservation
     */
    record OrderGranted(String nonce) implements ControlResult {}

    /**
     * The key is already reserved and the order has no outcome yet.
     *
     * @param holder instance that may dispatch the order
     * @param nonce identifier of its reservation
     * @param bodyHash hash of the request body of the reservation
     */
    record OrderReserved(InstanceRef holder, String nonce, String bodyHash)
            implements ControlResult {}

    /**
     * The order was not executed under the last reservation, which was released.
     *
     * @param bodyHash hash of the request body of that reservation
     */
    record OrderReleased(String bodyHash) implements ControlResult {}

    /**
     * The order was executed.
     *
     * @param bodyHash hash of the request body
     * @param status HTTP status of the response of the endpoint
     * @param contentType media type of the response
     * @param answer body of the response
     */
    record OrderDone(String bodyHash, int status, String contentType, byte[] answer)
            implements ControlResult {}

    /** The idempotency key was already used with another request body. */
    record OrderKeyReused() implements ControlResult {}

    /** The order ledger has reached its capacity; the order was not reserved. */
    record OrderLedgerFull() implements ControlResult {}

    /** The order ledger has no entry for this key. */
    record OrderNotFound() implements ControlResult {}

    /**
     * The order to the engine may be sent.
     *
     * @param fencingToken fencing token to send with the order
     */
    record EndpointOrderIssued(long fencingToken) implements ControlResult {}

    /**
     * Another order to the same engine is outstanding.
     *
     * @param fencingToken fencing token of the outstanding order
     */
    record EndpointOrderOutstanding(long fencingToken) implements ControlResult {}
}
