package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.generation.GenerationAdmission;
import io.sapphirestack.core.generation.GenerationCopy;
import io.sapphirestack.core.generation.GenerationIds;
import io.sapphirestack.core.generation.GenerationOwner;
import io.sapphirestack.core.generation.GenerationSpec;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ModelSpec;
import io.sapphirestack.runtime.generation.GenerationMessages.DropGeneration;
import io.sapphirestack.runtime.generation.GenerationMessages.RegisterKey;
import io.sapphirestack.runtime.generation.GenerationMessages.RegisterKeyReply;
import io.sapphirestack.runtime.generation.GenerationMetrics.AttemptReason;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/**
 * Accepts generations: checks the request, registers the idempotency key and creates the copies on
 * replicas. Thread-safe; calls block.
 */
final class GenerationAcceptor {

    /** Time for the replicas to acknowledge their copies before the request is refused. */
    private static final long OPEN_TIMEOUT_MS = 300;

    /**
     * Time to wait for acknowledgements if a replica may already take over, which rules out a
     * refusal.
     */
    private static final long CONFIRM_TIMEOUT_MS = 10_000;

    /**
     * Number of checks whether a concurrent request with the same key has created its generation.
     */
    private static final int MAX_KEY_CHECKS = 10;

    private static final long KEY_CHECK_INTERVAL_MS = 100;

    private final GenerationContext context;
    private final GenerationStore store;
    private final OwnershipController ownership;
    private final IdempotencyKeyDirectory keyDirectory;
    private final HolderLocator locator;
    private final RandomGenerator random;
    private final AtomicLong sequence = new AtomicLong();

    GenerationAcceptor(
            GenerationContext context,
            GenerationStore store,
            OwnershipController ownership,
            IdempotencyKeyDirectory keyDirectory,
            HolderLocator locator,
            RandomGenerator random) {
        this.context = context;
        this.store = store;
        this.ownership = ownership;
        this.keyDirectory = keyDirectory;
        this.locator = locator;
        this.random = random;
    }

    GenerationId accept(GenerationRequest request) throws RefusedException {
        InstanceRef self = requireReady();
        ControlView view = context.blackboard().control().read();
        ModelSpec model =
                context.catalog()
                        .findModel(request.model())
                        .orElseThrow(
                                () -> notExecuted(404, "not_found", "There is no such model."));
        GenerationId id = GenerationIds.create(self, sequence.incrementAndGet(), random.nextLong());
        GenerationSpec spec =
                new GenerationSpec(
                        id,
                        request.account(),
                        model.service(),
                        request.model(),
                        model.pin(),
                        request.prompt(),
                        request.maxTokens(),
                        request.seed(),
                        request.idempotencyKey().orElse(""),
                        request.idempotencyKey().isPresent() ? bodyHash(request) : "");
        try {
            Optional<GenerationId> existing = registerKey(spec);
            if (existing.isPresent()) {
                return existing.get();
            }
            requireNotQuarantined(spec);
            requireEndpoint(model);
            GenerationAdmission.Permit permit = context.admission().admit(spec.account(), false);
            createCopies(spec, self, view, permit);
            return confirmKey(spec);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RefusedException(unconfirmed("Accepting the generation was interrupted."), e);
        }
    }

    private InstanceRef requireReady() throws RefusedException {
        if (!context.blackboard().readiness().read().admitsRequests()) {
            throw notExecuted(503, "not_ready", "This instance is starting or stopping.");
        }
        ConfigurationLease lease = context.blackboard().configurationLease().read();
        if (!lease.isValidAt(context.clock().nowMs())) {
            throw notExecuted(
                    503, "configuration_stale", "The configuration could not be confirmed.");
        }
        Optional<InstanceRef> self = context.blackboard().self().read();
        if (self.isEmpty() || !context.blackboard().control().read().isLive(self.get())) {
            throw notExecuted(503, "not_ready", "This instance has not joined yet.");
        }
        return self.get();
    }

    private void requireNotQuarantined(GenerationSpec spec) throws RefusedException {
        OptionalLong remainingMs =
                context.crashes().remainingMs(UnansweredAttempt.fingerprintOf(spec));
        if (remainingMs.isPresent()) {
            throw new RefusedException(
                    new Refusal(
                            503,
                            "request_quarantined",
                            "The request crashes the engines that run it; it is not sent for now.",
                            "accept",
                            "local",
                            ExecutionState.NO,
                            remainingMs.getAsLong()));
        }
    }

    private void requireEndpoint(ModelSpec model) throws RefusedException {
        boolean known =
                context.blackboard().endpoints().read().ofService(model.service()).stream()
                        .anyMatch(endpoint -> endpoint.models().contains(model.pin()));
        if (!known) {
            throw notExecuted(503, "no_endpoint", "No endpoint has the model loaded.");
        }
    }

    /**
     * Registers the idempotency key, if there is one.
     *
     * @return the generation of an earlier request with the same key, or empty if there is none
     */
    private Optional<GenerationId> registerKey(GenerationSpec spec)
            throws RefusedException, InterruptedException {
        if (spec.idempotencyKey().isEmpty()) {
            return Optional.empty();
        }
        GenerationId abandoned = null;
        for (int i = 0; i <= MAX_KEY_CHECKS; i++) {
            RegisterKeyReply registration = register(spec, abandoned);
            if (registration.generation().equals(spec.id())) {
                return Optional.empty();
            }
            if (!registration.bodyHash().equals(spec.bodyHash())) {
                throw notExecuted(
                        422, "key_reused", "The idempotency key was used with another body.");
            }
            if (exists(spec, registration.generation())) {
                return Optional.of(registration.generation());
            }
            TimeUnit.MILLISECONDS.sleep(KEY_CHECK_INTERVAL_MS);
            // No generation has appeared: the request that registered the key was refused, or its
            // instance failed before accepting it. The last registration therefore replaces it.
            abandoned = i == MAX_KEY_CHECKS - 1 ? registration.generation() : null;
        }
        throw new RefusedException(
                unconfirmed("The generation of the idempotency key does not exist yet."));
    }

    private RegisterKeyReply register(GenerationSpec spec, GenerationId abandoned)
            throws RefusedException {
        return keyDirectory
                .register(
                        new RegisterKey(
                                spec.account(),
                                spec.idempotencyKey(),
                                spec.id(),
                                spec.bodyHash(),
                                abandoned))
                .orElseThrow(
                        () ->
                                notExecuted(
                                        503,
                                        "too_few_replicas",
                                        "The idempotency key could not be recorded."));
    }

    private boolean exists(GenerationSpec spec, GenerationId id) throws RefusedException {
        try {
            locator.locate(id, spec.account());
            return true;
        } catch (RefusedException e) {
            if (e.refusal().status() == 404) {
                return false;
            }
            throw e;
        }
    }

    private void createCopies(
            GenerationSpec spec,
            InstanceRef self,
            ControlView view,
            GenerationAdmission.Permit permit)
            throws RefusedException, InterruptedException {
        LocalGeneration generation =
                new LocalGeneration(
                        GenerationCopy.accepted(spec, self, view.revision()),
                        context.clock().nowMs());
        generation.holdPermit(permit);
        String ownZone = view.instances().get(self.id()).availabilityZone();
        List<InstanceInfo> replicas = ownership.addReplicas(generation, view, self, Set.of());
        List<InstanceRef> inOtherZones =
                replicas.stream()
                        .filter(info -> !info.availabilityZone().equals(ownZone))
                        .map(InstanceInfo::ref)
                        .toList();
        if (inOtherZones.isEmpty()) {
            generation.releasePermit();
            throw tooFewReplicas();
        }
        store.add(generation);
        ownership.replicator().replicate(generation, false);
        generation.awaitCondition(
                copy ->
                        copy.owner()
                                .filter(
                                        owner ->
                                                replicas.stream()
                                                        .map(InstanceInfo::ref)
                                                        .allMatch(owner::hasConfirmedActivation))
                                .isPresent(),
                OPEN_TIMEOUT_MS);
        if (!generation.withCopy(copy -> hasConfirmedReplica(copy, inOtherZones))) {
            if (generation.tryRefuse()) {
                dropCopies(generation, replicas);
                throw tooFewReplicas();
            }
            if (!generation.awaitCondition(
                    copy -> hasConfirmedReplica(copy, inOtherZones), CONFIRM_TIMEOUT_MS)) {
                GenerationEvents.acceptanceUnconfirmed(spec.id());
                ownership.startAttempts(generation, AttemptReason.FIRST);
                throw new RefusedException(
                        unconfirmed("The replicas did not confirm the generation."));
            }
        }
        GenerationEvents.accepted(spec.id(), 1 + replicas.size());
        ownership.startAttempts(generation, AttemptReason.FIRST);
    }

    /**
     * Returns whether a replica in another availability zone has confirmed that it may take over.
     * If this instance is no longer the owner, a replica has taken over, which implies the same.
     */
    private static boolean hasConfirmedReplica(
            GenerationCopy copy, List<InstanceRef> inOtherZones) {
        Optional<GenerationOwner> owner = copy.owner();
        return owner.isEmpty()
                || inOtherZones.stream().anyMatch(owner.get()::hasConfirmedActivation);
    }

    private void dropCopies(LocalGeneration generation, List<InstanceInfo> replicas) {
        long epoch = generation.withOwner(GenerationOwner::epoch).orElse(0L);
        store.remove(generation);
        generation.releasePermit();
        for (InstanceInfo info : replicas) {
            context.transport()
                    .call(
                            info.peerAddress(),
                            new DropGeneration(generation.id(), epoch),
                            OPEN_TIMEOUT_MS);
        }
    }

    /**
     * Checks that no other request has replaced the key registration in the meantime. If one has,
     * cancels the new generation and returns the other one.
     */
    private GenerationId confirmKey(GenerationSpec spec) throws RefusedException {
        if (spec.idempotencyKey().isEmpty()) {
            return spec.id();
        }
        RegisterKeyReply registration = register(spec, null);
        if (!registration.generation().equals(spec.id())) {
            store.find(spec.id()).ifPresent(ownership::cancel);
        }
        return registration.generation();
    }

    private static String bodyHash(GenerationRequest request) {
        // The seed is left out: if the caller sends none, each resend gets another random seed.
        String body =
                request.model() + '\u0000' + request.maxTokens() + '\u0000' + request.prompt();
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(body.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private static RefusedException notExecuted(int status, String code, String detail) {
        return new RefusedException(Refusal.notExecuted(status, code, "admission", detail));
    }

    private static RefusedException tooFewReplicas() {
        return new RefusedException(
                Refusal.notExecuted(
                        503,
                        "too_few_replicas",
                        "open",
                        "The generation could not be recorded in two availability zones."));
    }

    private static Refusal unconfirmed(String detail) {
        return new Refusal(
                503,
                "generation_unreachable",
                detail,
                "open",
                "local",
                ExecutionState.UNKNOWN,
                1_000);
    }
}
