package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.EndpointSignalTable;
import io.sapphirestack.core.relay.EndpointSpeeds;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;

/** Learns the speed of endpoints that report their pace. Thread-safe. */
final class EndpointSpeedObserver implements AttemptObserver {

    private final EndpointSpeeds speeds;
    private final EndpointSignalTable signals;
    private final MillisClock clock;

    EndpointSpeedObserver(EndpointSpeeds speeds, EndpointSignalTable signals, MillisClock clock) {
        this.speeds = speeds;
        this.signals = signals;
        this.clock = clock;
    }

    /** Records the duration of a plain request; refusals and errors are often much shorter. */
    @Override
    public void onHead(
            UpstreamResponseHead head,
            RelayedRequest request,
            EndpointState endpoint,
            long sentAtMs) {
        if (head.isSuccess() && !request.route().kind().isStream()) {
            record(endpoint, clock.nowMs() - sentAtMs);
        }
    }

    private void record(EndpointState endpoint, double durationMs) {
        boolean reportsPace =
                signals.load(endpoint)
                        .filter(load -> load.reportedPacePercent().isPresent())
                        .isPresent();
        if (reportsPace) {
            speeds.record(endpoint, durationMs);
        }
    }
}
