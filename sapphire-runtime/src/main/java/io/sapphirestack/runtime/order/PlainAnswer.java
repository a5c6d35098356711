package io.sapphirestack.runtime.order;

/**
 * Whole answer of a plain service to one exchange.
 *
 * @param status HTTP status
 * @param contentType media type of the body, empty if there is none
 * @param body body, empty if there is none
 * @param notRun whether the service says that the work did not run and never will
 * @param reusable whether the connection can carry another exchange
 */
public record PlainAnswer(
        int status, String contentType, byte[] body, boolean notRun, boolean reusable) {}
