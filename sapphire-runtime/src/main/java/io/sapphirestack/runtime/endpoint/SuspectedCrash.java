package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.quarantine.PromptParts;
import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.routing.EndpointState;

/**
 * Attempt that failed without an answer at an endpoint that may have crashed.
 *
 * @param request fingerprint of the request
 * @param promptParts shared parts of its prompt
 * @param endpoint endpoint of the attempt
 * @param sentAtMs reported send time, see {@link RequestQuarantine#reportedSentAtMs}, on the
 *     monotonic clock, in milliseconds
 * @param failedAtMs time of the failure, on the monotonic clock, in milliseconds
 */
public record SuspectedCrash(
        RequestFingerprint request,
        PromptParts promptParts,
        EndpointState endpoint,
        long sentAtMs,
        long failedAtMs) {}
