package io.sapphirestack.core.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.RecordKey;
import java.util.List;
import java.util.Optional;

/**
 * Command to the replicated state machine. Commands carry no time; the leader sets the time of each
 * log entry from its wall clock.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ControlCommand.PutRecord.class, name = "putRecord"),
    @JsonSubTypes.Type(value = ControlCommand.DeleteRecord.class, name = "deleteRecord"),
    @JsonSubTypes.Type(value = ControlCommand.PutNewest.class, name = "putNewest"),
    @JsonSubTypes.Type(value = ControlCommand.ReadRecord.class, name = "readRecord"),
    @JsonSubTypes.Type(value = ControlCommand.ReadHistory.class, name = "readHistory"),
    @JsonSubTypes.Type(value = ControlCommand.JoinInstance.class, name = "join"),
    @JsonSubTypes.Type(value = ControlCommand.EvictInstances.class, name = "evict"),
    @JsonSubTypes.Type(value = ControlCommand.ReserveOrder.class, name = "reserveOrder"),
    @JsonSubTypes.Type(value = ControlCommand.ReleaseOrder.class, name = "releaseOrder"),
    @JsonSubTypes.Type(value = ControlCommand.CompleteOrder.class, name = "completeOrder"),
    @JsonSubTypes.Type(value = ControlCommand.ReadOrder.class, name = "readOrder"),
    @JsonSubTypes.Type(
            value = ControlCommand.IssueEndpointOrder.class,
            name = "issueEndpointOrder"),
    @JsonSubTypes.Type(
            value = ControlCommand.CompleteEndpointOrder.class,
            name = "completeEndpointOrder")
})
public sealed interface ControlCommand {

    /**
     * Creates or replaces a record if its current revision is the expected one.
     *
     * @param changeId random identifier created by the operator's client; a command that is resent
     *     with the same identifier gets the result of the first one
     * @param operator name of the operator
     * @param key key of the record
     * @param expectedRevision revision that the change is based on, 0 if the record must not exist
     * @param schemaVersion schema version of the body
     * @param minimumReader lowest reader version that may interpret the body
     * @param body content of the record
     * @param dryRun whether to check the command without changing the state
     */
    record PutRecord(
            String changeId,
            String operator,
            RecordKey key,
            long expectedRevision,
            int schemaVersion,
            int minimumReader,
            JsonNode body,
            boolean dryRun)
            implements ControlCommand {}

    /**
     * Deletes a record if its current revision is the expected one.
     *
     * @param changeId random identifier created by the operator's client, as for {@link PutRecord}
     * @param operator name of the operator
     * @param key key of the record
     * @param expectedRevision revision that the deletion is based on
     * @param dryRun whether to check the command without changing the state
     */
    record DeleteRecord(
            String changeId, String operator, RecordKey key, long expectedRevision, boolean dryRun)
            implements ControlCommand {}

    /**
     * Replaces a record whose writers assign version numbers themselves, if the new number is
     * higher than the stored one. Otherwise the command changes nothing; it is therefore idempotent
     * without a change id. No history is kept, because the content may be large.
     *
     * @param operator name of the operator
     * @param key key of the record
     * @param number version number that the writer assigned to the content, positive
     * @param body content of the record
     */
    record PutNewest(String operator, RecordKey key, long number, JsonNode body)
            implements ControlCommand {}

    /**
     * Reads a record in log order, so that the result includes every change accepted before.
     *
     * @param key key of the record
     */
    record ReadRecord(RecordKey key) implements ControlCommand {}

    /**
     * Reads the last versions of a record in log order.
     *
     * @param key key of the record
     */
    record ReadHistory(RecordKey key) implements ControlCommand {}

    /**
     * Registers an instance as live. A live earlier incarnation is evicted first.
     *
     * @param info description of the instance; its incarnation is a proposal and is raised above
     *     every earlier one
     * @param joinId random identifier of this join; a command that is resent with the same
     *     identifier gets the result of the first one
     * @param retainedFrom earlier incarnation whose generations the process still holds, or empty
     *     if there is none
     */
    record JoinInstance(InstanceInfo info, String joinId, Optional<InstanceRef> retainedFrom)
            implements ControlCommand {}

    /**
     * Evicts instances that failed or left. Incarnations that are not live are ignored.
     *
     * @param refs incarnations to evict
     * @param reason reason that is shown to operators
     */
    record EvictInstances(List<InstanceRef> refs, String reason) implements ControlCommand {}

    /**
     * Reserves the idempotency key of an order for one instance.
     *
     * @param key idempotency key
     * @param bodyHash hash of the request body
     * @param holder instance that will dispatch the order
     * @param nonce random identifier of this reservation; a command that is resent with the same
     *     identifier gets the result of the first one
     */
    record ReserveOrder(OrderKey key, String bodyHash, InstanceRef holder, String nonce)
            implements ControlCommand {}

    /**
     * Records that a reserved order was not executed and will not be dispatched under this
     * reservation.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     */
    record ReleaseOrder(OrderKey key, String nonce) implements ControlCommand {}

    /**
     * Records the outcome of an order that was executed.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     * @param status HTTP status of the response of the endpoint
     * @param contentType media type of the response
     * @param answer body of the response
     */
    record CompleteOrder(OrderKey key, String nonce, int status, String contentType, byte[] answer)
            implements ControlCommand {}

    /**
     * Reads the state of an order in log order.
     *
     * @param key idempotency key
     */
    record ReadOrder(OrderKey key) implements ControlCommand {}

    /**
     * Records an order to an engine before it is sent. The log index becomes its fencing token.
     *
     * @param endpoint engine that receives the order
     * @param order order to the engine
     */
    record IssueEndpointOrder(EndpointId endpoint, EndpointOrder order) implements ControlCommand {}

    /**
     * Records that an order to an engine is no longer outstanding.
     *
     * @param endpoint engine that received the order
     * @param fencingToken fencing token of the order; ignored if it is not the outstanding one
     * @param outcome result that is shown to operators
     */
    record CompleteEndpointOrder(EndpointId endpoint, long fencingToken, String outcome)
            implements ControlCommand {}
}
