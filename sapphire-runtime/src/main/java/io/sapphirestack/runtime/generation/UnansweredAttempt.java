package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.generation.GenerationSpec;
import io.sapphirestack.core.quarantine.PromptParts;
import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.endpoint.EndpointException;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import io.sapphirestack.runtime.error.ServiceException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Tells the {@link RequestCrashMonitor} how the attempts of a generation go that have not received
 * a token yet. Used by one thread.
 */
final class UnansweredAttempt {

    private final RequestCrashMonitor crashes;
    private final RequestFingerprint fingerprint;
    private final MillisClock clock;
    private Optional<EndpointState> endpoint = Optional.empty();
    private long reportedSentAtMs;
    private boolean hasFailed;

    UnansweredAttempt(RequestCrashMonitor crashes, GenerationSpec spec, MillisClock clock) {
        this.crashes = crashes;
        this.fingerprint = fingerprintOf(spec);
        this.clock = clock;
    }

    /** Returns the fingerprint of a generation, by account, model and prompt. */
    static RequestFingerprint fingerprintOf(GenerationSpec spec) {
        return RequestFingerprint.of(
                spec.service(),
                spec.account().value(),
                "GENERATE",
                spec.model(),
                spec.prompt().getBytes(StandardCharsets.UTF_8));
    }

    boolean isQuarantined() {
        return crashes.remainingMs(fingerprint).isPresent();
    }

    void begin(EndpointState engine) {
        endpoint = Optional.of(engine);
        reportedSentAtMs = RequestQuarantine.reportedSentAtMs(clock.nowMs(), hasFailed);
    }

    /** Records the first token of the attempt. */
    void recordToken() {
        if (endpoint.isPresent()) {
            endpoint = Optional.empty();
            crashes.recordAnswer(fingerprint);
        }
    }

    /**
     * Lets the monitor find out whether the engine has crashed, if the request may have run there.
     *
     * @param failure why the attempt failed, {@code null} if the engine sent no token for too long
     */
    void recordFailure(ServiceException failure) {
        Optional<EndpointState> failed = endpoint;
        endpoint = Optional.empty();
        if (failed.isPresent()
                && failure instanceof EndpointException exception
                && exception.maybeSent()) {
            recordFailure(failed.get(), exception.timedOut());
        }
    }

    private void recordFailure(EndpointState engine, boolean timedOut) {
        hasFailed = true;
        if (!timedOut) {
            crashes.recordFailure(fingerprint, PromptParts.NONE, engine, reportedSentAtMs);
        } else {
            crashes.recordTimeout(fingerprint, PromptParts.NONE, engine, reportedSentAtMs);
        }
    }
}
