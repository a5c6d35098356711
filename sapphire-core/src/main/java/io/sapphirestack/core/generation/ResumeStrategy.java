package io.sapphirestack.core.generation;

import io.sapphirestack.core.record.ResumePolicy;
import io.sapphirestack.core.record.ResumeSpec;

/**
 * Decides what to do with an attempt whose engine is suspected, because it neither sends data on
 * the stream nor responds to a probe, or is stalled. Implementations are stateless.
 */
@FunctionalInterface
public interface ResumeStrategy {

    /**
     * Decides about a suspected engine.
     *
     * @param suspectedMs time since the first probe without a response, in milliseconds
     * @param spec failure detection times of the service
     * @return {@link ResumeAction#PROBE}, {@link ResumeAction#MOVE} or {@link
     *     ResumeAction#SPECULATE}
     */
    ResumeAction onSuspected(long suspectedMs, ResumeSpec spec);

    /**
     * Decides about a stalled engine, which sends keep-alives but no tokens.
     *
     * @return {@link ResumeAction#MOVE} or {@link ResumeAction#CONTINUE}
     */
    default ResumeAction onStalled() {
        return ResumeAction.MOVE;
    }

    /**
     * Returns the strategy of a policy.
     *
     * @param policy policy of the service record
     * @return strategy that implements the policy
     */
    static ResumeStrategy of(ResumePolicy policy) {
        return switch (policy) {
            case LATENCY -> (suspectedMs, spec) -> ResumeAction.MOVE;
            case SPECULATIVE -> (suspectedMs, spec) -> ResumeAction.SPECULATE;
            case RESOURCE -> new ResourceStrategy();
        };
    }

    /** Waits for the engine to recover, so that no token is computed twice. */
    final class ResourceStrategy implements ResumeStrategy {
        @Override
        public ResumeAction onSuspected(long suspectedMs, ResumeSpec spec) {
            return suspectedMs < spec.suspectWaitMs() ? ResumeAction.PROBE : ResumeAction.MOVE;
        }

        @Override
        public ResumeAction onStalled() {
            return ResumeAction.CONTINUE;
        }
    }
}
