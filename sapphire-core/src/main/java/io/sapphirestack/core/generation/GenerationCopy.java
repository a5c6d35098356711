package io.sapphirestack.core.generation;

import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.id.InstanceRef;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Copy of one generation on one instance: state machine of a replica, which becomes or stops being
 * the owner according to membership events and appends. Not thread-safe.
 */
public final class GenerationCopy {

    /** Change of the role of this instance. */
    public enum RoleChange {
        /** The role did not change. */
        NONE,
        /** This instance has become the owner of the generation. */
        BECAME_OWNER,
        /** This instance no longer owns the generation. */
        LOST_OWNERSHIP
    }

    private final GenerationSpec spec;
    private final GenerationLog log;
    private ReplicaSet replicas;
    private AttemptRecord attempt = AttemptRecord.NONE;
    private long headerVersion;
    private InstanceRef activeIncarnation;
    private GenerationOwner owner;

    private GenerationCopy(GenerationSpec spec, ReplicaSet replicas) {
        this.spec = spec;
        this.replicas = replicas;
        this.log = new GenerationLog(replicas.epoch());
    }

    /**
     * Creates the copy of the accepting instance, which is the first owner.
     *
     * @param spec request and pinned values
     * @param self incarnation of the accepting instance
     * @param revision revision of the control view on that instance
     * @return copy that is the owner
     */
    public static GenerationCopy accepted(GenerationSpec spec, InstanceRef self, long revision) {
        GenerationCopy copy = new GenerationCopy(spec, ReplicaSet.initial(self, revision));
        copy.becomeOwner(self, 0);
        return copy;
    }

    /**
     * Creates the empty copy of a replica.
     *
     * @param spec request and pinned values
     * @param epoch epoch of the owner that requested the copy
     * @return copy without entries
     */
    public static GenerationCopy opened(GenerationSpec spec, long epoch) {
        return new GenerationCopy(spec, new ReplicaSet(0, epoch, List.of(), 0, List.of()));
    }

    /** Returns the request and the pinned values. */
    public GenerationSpec spec() {
        return spec;
    }

    /** Returns the output. Only this class and the owner's state machine may modify it. */
    public GenerationLog log() {
        return log;
    }

    /** Returns the owner's state machine, or empty if this instance is not the owner. */
    public Optional<GenerationOwner> owner() {
        return Optional.ofNullable(owner);
    }

    /** Returns the member list that this instance has applied. */
    public ReplicaSet replicas() {
        return owner == null ? replicas : owner.replicas();
    }

    /** Returns the last attempt that this instance knows of. */
    public AttemptRecord attempt() {
        return owner == null ? attempt : owner.attempt();
    }

    /** Returns whether this instance is an active member, which may become the owner. */
    public boolean isActive() {
        return activeIncarnation != null;
    }

    /**
     * Returns whether this instance is the owner or a member, or may become the owner while
     * ownership is pending.
     *
     * @param ownIncarnations incarnations of this process since it started
     * @return whether the copy must be kept until the output is complete
     */
    public boolean mustBeKept(Set<InstanceRef> ownIncarnations) {
        ReplicaSet set = replicas();
        return set.members().stream().anyMatch(ownIncarnations::contains)
                || (activeIncarnation != null
                        && set.pending().stream().anyMatch(ownIncarnations::contains));
    }

    /**
     * Applies membership events.
     *
     * @param events recent events in log order; those already applied are skipped
     * @param ownIncarnations incarnations of this process since it started
     * @return change of the role
     */
    public RoleChange applyEvents(List<MembershipEvent> events, Set<InstanceRef> ownIncarnations) {
        ReplicaSet next = replicas().apply(events);
        if (owner != null) {
            if (next.epoch() == owner.epoch() && !next.members().isEmpty()) {
                owner.updateReplicas(next);
                return RoleChange.NONE;
            }
            stepDown();
            replicas = next;
            return tryTakeOver(ownIncarnations)
                    ? RoleChange.BECAME_OWNER
                    : RoleChange.LOST_OWNERSHIP;
        }
        replicas = next;
        return tryTakeOver(ownIncarnations) ? RoleChange.BECAME_OWNER : RoleChange.NONE;
    }

    /**
     * Gives up ownership, because an owner with a higher epoch exists. No-op on a replica.
     *
     * @return change of the role
     */
    public RoleChange stepDown() {
        if (owner == null) {
            return RoleChange.NONE;
        }
        replicas = owner.replicas();
        attempt = owner.attempt();
        headerVersion = 0;
        owner = null;
        return RoleChange.LOST_OWNERSHIP;
    }

    /**
     * Handles an append as a replica. If this instance owned the generation in an earlier epoch and
     * the append is stored, it gives up ownership.
     *
     * @param append entries from the owner
     * @param events recent membership events in log order
     * @param ownIncarnations incarnations of this process since it started
     * @return reply to the owner
     */
    public GenerationAppendReply onAppend(
            GenerationAppend append,
            List<MembershipEvent> events,
            Set<InstanceRef> ownIncarnations) {
        long highestEpoch = Math.max(log.epoch(), replicas().epoch());
        if (append.epoch() < highestEpoch || (owner != null && append.epoch() == owner.epoch())) {
            return reply(GenerationAppendReply.Status.STALE_EPOCH, highestEpoch, log.length());
        }
        boolean newEpoch = append.epoch() > log.epoch();
        long version = newEpoch ? 0 : headerVersion;
        GenerationHeader header = append.header();
        boolean newHeader = header != null && header.version() > version;
        if (version == 0 && !newHeader) {
            return gap(append, version);
        }
        ReplicaSet next = newHeader ? header.replicas().apply(events) : replicas();
        if (next.epoch() > append.epoch()) {
            return reply(GenerationAppendReply.Status.STALE_EPOCH, next.epoch(), log.length());
        }
        if (!log.store(
                append.epoch(), append.fromOffset(), append.tokens(), append.finishReason())) {
            return gap(append, version);
        }
        if (newEpoch) {
            stepDown();
            headerVersion = 0;
        }
        // A copy without all committed entries must not become active, because it could take over.
        if (newHeader && log.length() >= append.committedOffset()) {
            adoptHeader(header, next, ownIncarnations);
        }
        log.commit(append.committedOffset());
        return reply(GenerationAppendReply.Status.STORED, append.epoch(), log.length());
    }

    private void adoptHeader(
            GenerationHeader header, ReplicaSet next, Set<InstanceRef> ownIncarnations) {
        headerVersion = header.version();
        attempt = header.attempt();
        replicas = next;
        InstanceRef ownMember =
                header.replicas().members().stream()
                        .filter(ownIncarnations::contains)
                        .findFirst()
                        .orElse(null);
        if (ownMember != null && header.replicas().isActive(ownMember)) {
            activeIncarnation = ownMember;
        } else if (ownMember == null || !ownMember.equals(activeIncarnation)) {
            activeIncarnation = null;
        }
    }

    private boolean tryTakeOver(Set<InstanceRef> ownIncarnations) {
        Optional<InstanceRef> first = replicas.owner();
        if (activeIncarnation == null
                || first.isEmpty()
                || !ownIncarnations.contains(first.get())
                || replicas.epoch() <= log.epoch()) {
            return false;
        }
        becomeOwner(first.get(), AdmittedAttempts.baseAttemptNumber(replicas.epoch()));
        return true;
    }

    private void becomeOwner(InstanceRef self, int lastAttemptNumber) {
        activeIncarnation = self;
        owner =
                new GenerationOwner(
                        spec, log, replicas, new AdmittedAttempts(attempt, lastAttemptNumber));
    }

    private GenerationAppendReply gap(GenerationAppend append, long version) {
        return new GenerationAppendReply(
                spec.id(),
                GenerationAppendReply.Status.GAP,
                append.epoch(),
                log.maxAppendOffset(append.epoch()),
                version);
    }

    private GenerationAppendReply reply(
            GenerationAppendReply.Status status, long epoch, long length) {
        return new GenerationAppendReply(spec.id(), status, epoch, length, headerVersion);
    }
}
