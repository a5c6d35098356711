package io.sapphirestack.runtime.relay;

import java.util.concurrent.Executor;

/**
 * What the standby copies of all streams share.
 *
 * @param candidates endpoints to which a request may be sent
 * @param pool connections to endpoints
 * @param client sends orders for copies
 * @param executor runs blocking orders; rejects tasks while all its threads are busy
 */
record StandbyServices(
        RelayCandidates candidates, UpstreamPool pool, CopyOrderClient client, Executor executor) {}
