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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** Accepts generations: checks, idempotency key, copies at replicas. Thread-safe; calls block. */
final class GenerationAcceptor {

    /** Time for replicas to acknowledge the request before it is refused. */
    private static final long OPEN_TIMEOUT_MS = 300;

    /** Time to wait for replicas that may already take over, so that refusing is not possible. */
    private static final long CONFIRM_TIMEOUT_MS = 10_000;

    /** Time for a concurrent request with the same key to become visible. */
    private static final int KEY_ATTACH_TRIES = 10;

    private static final long KEY_ATTACH_POLL_MS = 100;

    private final GenerationContext context;
    private final GenerationStore store;
    private final Ownership ownership;
    private final KeyDirectory keys;
    private final HolderLocator locator;
    private final RandomGenerator random;
    private final AtomicLong sequence = new AtomicLong();

    GenerationAcceptor(
            GenerationContext context,
            GenerationStore store,
            Ownership ownership,
            KeyDirectory keys,
            HolderLocator locator,
            RandomGenerator random) {
        this.context = context;
        this.store = store;
        this.ownership = ownership;
        this.keys = keys;
        this.locator = locator;
        this.random = random;
    }

    GenerationId accept(GenerationRequest request) throws RefusedException {
        InstanceRef self = requireAdmitting();
        ControlView view = context.blackboard().control().read();
        ModelSpec model =
                context.catalog()
                        .findModel(request.model())
                        .orElseThrow(() -> refused(404, "not_found", "There is no such model."));
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
            Optional<GenerationId> existing = attach(spec);
            if (existing.isPresent()) {
                return existing.get();
            }
            requireEndpoint(model);
            GenerationAdmission.Permit permit = context.admission().admit(spec.account(), false);
            open(spec, self, view, permit);
            return confirmKey(spec);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RefusedException(unconfirmed("The acceptance was interrupted."), e);
        }
    }

    private InstanceRef requireAdmitting() throws RefusedException {
        if (!context.blackboard().readiness().read().admitsRequests()) {
            throw refused(503, "not_ready", "This instance is starting or stopping.");
        }
        ConfigurationLease lease = context.blackboard().configurationLease().read();
        if (!lease.isValidAt(context.clock().nowMs())) {
            throw refused(503, "configuration_stale", "The configuration could not be confirmed.");
        }
        Optional<InstanceRef> self = context.blackboard().self().read();
        if (self.isEmpty() || !context.blackboard().control().read().isLive(self.get())) {
            throw refused(503, "not_ready", "This instance has not joined yet.");
        }
        return self.get();
    }

    private void requireEndpoint(ModelSpec model) throws RefusedException {
        boolean known =
                context.blackboard().endpoints().read().ofService(model.service()).stream()
                        .anyMatch(endpoint -> endpoint.models().contains(model.pin()));
        if (!known) {
            throw refused(503, "no_endpoint", "No endpoint has the model loaded.");
        }
    }

    /** Registers the key; returns the generation that it names if that is another one. */
    private Optional<GenerationId> attach(GenerationSpec spec)
            throws RefusedException, InterruptedException {
        if (spec.idempotencyKey().isEmpty()) {
            return Optional.empty();
        }
        GenerationId replaces = null;
        for (int i = 0; i <= KEY_ATTACH_TRIES; i++) {
            RegisterKeyReply named = register(spec, replaces);
            if (named.generation().equals(spec.id())) {
                return Optional.empty();
            }
            if (!named.bodyHash().equals(spec.bodyHash())) {
                throw refused(422, "key_reused", "The idempotency key was used with another body.");
            }
            if (exists(spec, named.generation())) {
                return Optional.of(named.generation());
            }
            TimeUnit.MILLISECONDS.sleep(KEY_ATTACH_POLL_MS);
            // The request that registered the key was refused, or its instance failed before it
            // was accepted, so the key is free again.
            replaces = i == KEY_ATTACH_TRIES - 1 ? named.generation() : null;
        }
        throw new RefusedException(unconfirmed("The idempotency key names no generation yet."));
    }

    private RegisterKeyReply register(GenerationSpec spec, GenerationId replaces)
            throws RefusedException {
        return keys.register(
                        new RegisterKey(
                                spec.account(),
                                spec.idempotencyKey(),
                                spec.id(),
                                spec.bodyHash(),
                                replaces))
                .orElseThrow(
                        () ->
                                refused(
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

    private void open(
            GenerationSpec spec,
            InstanceRef self,
            ControlView view,
            GenerationAdmission.Permit permit)
            throws RefusedException, InterruptedException {
        HeldGeneration held =
                new HeldGeneration(
                        GenerationCopy.accepted(spec, self, view.revision()),
                        context.clock().nowMs());
        held.hold(permit);
        String ownZone = view.instances().get(self.id()).availabilityZone();
        List<InstanceInfo> chosen = ownership.addReplicas(held, view, self, Set.of());
        List<InstanceRef> elsewhere =
                chosen.stream()
                        .filter(info -> !info.availabilityZone().equals(ownZone))
                        .map(InstanceInfo::ref)
                        .toList();
        if (elsewhere.isEmpty()) {
            held.releasePermit();
            throw tooFew();
        }
        store.add(held);
        ownership.replication().replicate(held, false);
        held.await(
                copy ->
                        copy.owner()
                                .filter(
                                        owner ->
                                                chosen.stream()
                                                        .map(InstanceInfo::ref)
                                                        .allMatch(owner::hasConfirmedActivation))
                                .isPresent(),
                OPEN_TIMEOUT_MS);
        if (!held.withCopy(copy -> confirmed(copy, elsewhere))) {
            if (held.refuse()) {
                drop(held, chosen);
                throw tooFew();
            }
            if (!held.await(copy -> confirmed(copy, elsewhere), CONFIRM_TIMEOUT_MS)) {
                GenerationEvents.acceptanceUnconfirmed(spec.id());
                ownership.start(held, AttemptReason.FIRST);
                throw new RefusedException(
                        unconfirmed("The replicas did not confirm the generation."));
            }
        }
        GenerationEvents.accepted(spec.id(), 1 + chosen.size());
        ownership.start(held, AttemptReason.FIRST);
    }

    /** A later owner can only exist if a replica was active, so that also counts as recorded. */
    private static boolean confirmed(GenerationCopy copy, List<InstanceRef> elsewhere) {
        Optional<GenerationOwner> owner = copy.owner();
        return owner.isEmpty() || elsewhere.stream().anyMatch(owner.get()::hasConfirmedActivation);
    }

    private void drop(HeldGeneration held, List<InstanceInfo> chosen) {
        long epoch = held.withOwner(GenerationOwner::epoch).orElse(0L);
        store.remove(held);
        held.releasePermit();
        for (InstanceInfo info : chosen) {
            context.transport()
                    .call(
                            info.peerAddress(),
                            new DropGeneration(held.id(), epoch),
                            OPEN_TIMEOUT_MS);
        }
    }

    /** Checks that no other request took the key over while this one was being accepted. */
    private GenerationId confirmKey(GenerationSpec spec) throws RefusedException {
        if (spec.idempotencyKey().isEmpty()) {
            return spec.id();
        }
        RegisterKeyReply named = register(spec, null);
        if (!named.generation().equals(spec.id())) {
            store.find(spec.id()).ifPresent(ownership::cancel);
        }
        return named.generation();
    }

    private static String bodyHash(GenerationRequest request) {
        // The seed is left out: without one in the request, each resend gets another random seed.
        String body =
                request.model() + '\u0000' + request.maxTokens() + '\u0000' + request.prompt();
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(body.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing", e);
        }
    }

    private static RefusedException refused(int status, String code, String detail) {
        return new RefusedException(Refusal.notExecuted(status, code, "admission", detail));
    }

    private static RefusedException tooFew() {
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
