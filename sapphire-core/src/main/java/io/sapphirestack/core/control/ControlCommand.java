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
 * Command to the replicated state machine. Commands carry no time; the leader stamps each log entry
 * with its wall clock.
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
     * Creates or replaces a record if its revision is the expected one.
     *
     * @param changeId random identifier made by the operator's client; a repeated change id gets
     *     the first answer
     * @param operator name of the operator
     * @param key identity of the record
     * @param expectedRevision revision that the operator saw, 0 if the record must not exist
     * @param schemaVersion version of the schema that the body follows
     * @param minimumReader lowest reader version that may interpret the body
     * @param body content
     * @param dryRun whether to evaluate without changing anything
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
     * Deletes a record if its revision is the expected one.
     *
     * @param changeId random identifier made by the operator's client
     * @param operator name of the operator
     * @param key identity of the record
     * @param expectedRevision revision that the operator saw
     * @param dryRun whether to evaluate without changing anything
     */
    record DeleteRecord(
            String changeId, String operator, RecordKey key, long expectedRevision, boolean dryRun)
            implements ControlCommand {}

    /**
     * Replaces a record whose writers number its content themselves, if the new number is higher. A
     * number that is not higher changes nothing, so a repeated command needs no change id. No
     * history is kept, because the content may be large.
     *
     * @param operator name of the operator
     * @param key identity of the record
     * @param number number that the writer gave the content, positive
     * @param body content
     */
    record PutNewest(String operator, RecordKey key, long number, JsonNode body)
            implements ControlCommand {}

    /**
     * Reads a record in log order, so that no accepted change before the command is missed.
     *
     * @param key identity of the record
     */
    record ReadRecord(RecordKey key) implements ControlCommand {}

    /**
     * Reads the last versions of a record in log order.
     *
     * @param key identity of the record
     */
    record ReadHistory(RecordKey key) implements ControlCommand {}

    /**
     * Makes an instance live; replaces an earlier incarnation, which counts as evicted just before.
     *
     * @param info description; its incarnation is a proposal and is raised above every earlier one
     * @param joinId random identifier of this attempt, so that a repeated command gets the first
     *     answer
     * @param retainedFrom earlier incarnation whose generations the process still holds, if any
     */
    record JoinInstance(InstanceInfo info, String joinId, Optional<InstanceRef> retainedFrom)
            implements ControlCommand {}

    /**
     * Ends the life of instances that failed or left; incarnations that are not live are ignored.
     *
     * @param refs incarnations to evict
     * @param reason why, for operators
     */
    record EvictInstances(List<InstanceRef> refs, String reason) implements ControlCommand {}

    /**
     * Reserves the key of an order for one holder.
     *
     * @param key idempotency key
     * @param bodyHash hash of the request body
     * @param holder instance that will dispatch the order
     * @param nonce random identifier of this reservation; a repeated command with it gets the first
     *     answer
     */
    record ReserveOrder(OrderKey key, String bodyHash, InstanceRef holder, String nonce)
            implements ControlCommand {}

    /**
     * Records that a reserved order did not run and will not be dispatched under this reservation.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     */
    record ReleaseOrder(OrderKey key, String nonce) implements ControlCommand {}

    /**
     * Records the outcome of an order that ran.
     *
     * @param key idempotency key
     * @param nonce identifier of the reservation
     * @param status HTTP status of the endpoint's answer
     * @param contentType media type of the answer
     * @param answer body of the answer
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
     * Records an order to an engine before it is sent; the log index becomes its fencing token.
     *
     * @param endpoint engine
     * @param order what the engine does
     */
    record IssueEndpointOrder(EndpointId endpoint, EndpointOrder order) implements ControlCommand {}

    /**
     * Records that an order to an engine is no longer outstanding.
     *
     * @param endpoint engine
     * @param fencingToken token of the order
     * @param outcome result, for operators
     */
    record CompleteEndpointOrder(EndpointId endpoint, long fencingToken, String outcome)
            implements ControlCommand {}
}
