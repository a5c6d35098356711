package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceRef;
import org.jboss.logging.Logger;

/** Log events of the generation service, SAP2000 to SAP2999. */
final class GenerationEvents {

    private static final Logger LOG = Logger.getLogger(GenerationEvents.class);

    private GenerationEvents() {}

    static void accepted(GenerationId id, int copies) {
        LOG.debugf("SAP2000 accepted generation %s with %d copies", id, copies);
    }

    static void tookOver(GenerationId id, long epoch, long tokens) {
        LOG.infof("SAP2001 took over generation %s in epoch %d at token %d", id, epoch, tokens);
    }

    static void lostOwnership(GenerationId id, long epoch) {
        LOG.infof("SAP2002 no longer owner of generation %s since epoch %d", id, epoch);
    }

    static void completed(GenerationId id, long tokens, String reason) {
        LOG.debugf("SAP2003 completed generation %s with %d tokens, reason %s", id, tokens, reason);
    }

    static void acceptanceUnconfirmed(GenerationId id) {
        LOG.warnf("SAP2004 generation %s is recorded but its replicas did not confirm it", id);
    }

    static void attemptStarted(GenerationId id, int attempt, String endpoint, String reason) {
        LOG.debugf(
                "SAP2010 started attempt %d of generation %s on endpoint %s, reason %s",
                attempt, id, endpoint, reason);
    }

    static void attemptFailed(GenerationId id, int attempt, String endpoint, String detail) {
        LOG.infof(
                "SAP2011 attempt %d of generation %s on endpoint %s failed: %s",
                attempt, id, endpoint, detail);
    }

    static void reattached(GenerationId id, int attempt, String endpoint, long offset) {
        LOG.infof(
                "SAP2012 re-attached to attempt %d of generation %s on endpoint %s at token %d",
                attempt, id, endpoint, offset);
    }

    static void quarantined(GenerationId id) {
        LOG.warnf("SAP2031 generation %s ends, because its request crashes engines", id);
    }

    static void noTokens(GenerationId id, int attempt, String endpoint) {
        LOG.infof(
                "SAP2013 attempt %d of generation %s on endpoint %s sends keep-alives but no tokens",
                attempt, id, endpoint);
    }

    static void offsetGap(GenerationId id, int attempt, String endpoint, long offset) {
        LOG.warnf(
                "SAP2014 endpoint %s sent offset %d of attempt %d of generation %s but earlier tokens are missing",
                endpoint, offset, attempt, id);
    }

    static void waitingForEndpoint(GenerationId id) {
        LOG.infof("SAP2015 generation %s is waiting for an endpoint", id);
    }

    static void replicaAdded(GenerationId id, InstanceRef peer) {
        LOG.debugf("SAP2020 copying generation %s to instance %s", id, peer);
    }

    static void peerNotAcknowledging(InstanceRef peer, long unacknowledgedMs) {
        LOG.warnf(
                "SAP2021 instance %s has not acknowledged an append for %d ms; reported it",
                peer, unacknowledgedMs);
    }

    static void taskFailed(String task, Throwable cause) {
        LOG.errorf(cause, "SAP2090 %s failed", task);
    }

    static void finishedDropped(GenerationId id) {
        LOG.debugf("SAP2030 dropped the finished generation %s", id);
    }
}
