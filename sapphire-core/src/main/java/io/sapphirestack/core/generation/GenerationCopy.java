package io.sapphirestack.core.generation;

import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.id.InstanceRef;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Copy of one generation at one holder: state machine of a replica, which becomes owner and stops
 * being owner as membership events and appends demand. Not thread-safe.
 */
public final class GenerationCopy {

    /** Change of the role of this holder. */
    public enum RoleChange {
        /** The role is as before. */
        NONE,
        /** This holder owns the generation from now on. */
        BECAME_OWNER,
        /** This holder no longer owns the generation. */
        LOST_OWNERSHIP
    }

    private final GenerationSpec spec;
    private final GenerationLog log;
    private ReplicaSet replicas;
    private AttemptRecord attempt = AttemptRecord.NONE;
    private long headerVersion;
    private InstanceRef activeAs;
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
     * @param self accepting instance
     * @param revision revision of the control view that it uses
     * @return copy with the role of owner
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
     * @param epoch epoch of the owner that opens it
     * @return copy without entries
     */
    public static GenerationCopy opened(GenerationSpec spec, long epoch) {
        return new GenerationCopy(spec, new ReplicaSet(0, epoch, List.of(), 0, List.of()));
    }

    /** Returns the request and the pinned values. */
    public GenerationSpec spec() {
        return spec;
    }

    /** Returns the output; callers may only read it. */
    public GenerationLog log() {
        return log;
    }

    /** Returns the role of owner, if this holder has it. */
    public Optional<GenerationOwner> owner() {
        return Optional.ofNullable(owner);
    }

    /** Returns the members as this holder sees them. */
    public ReplicaSet replicas() {
        return owner == null ? replicas : owner.replicas();
    }

    /** Returns the current attempt as this holder knows it. */
    public AttemptRecord attempt() {
        return owner == null ? attempt : owner.attempt();
    }

    /** Returns whether this holder is a member that may take over. */
    public boolean active() {
        return activeAs != null;
    }

    /**
     * Tells whether this copy can still matter: as owner, as member, or while ownership is pending.
     *
     * @param self incarnations under which this process kept its memory
     * @return whether the copy must be kept until the output is complete
     */
    public boolean isHolder(Set<InstanceRef> self) {
        ReplicaSet set = replicas();
        return set.members().stream().anyMatch(self::contains)
                || (activeAs != null && set.pending().stream().anyMatch(self::contains));
    }

    /**
     * Applies membership events.
     *
     * @param events recent events in log order; those already applied are skipped
     * @param self incarnations under which this process kept its memory
     * @return change of the role
     */
    public RoleChange applyEvents(List<MembershipEvent> events, Set<InstanceRef> self) {
        ReplicaSet next = replicas().apply(events);
        if (owner != null) {
            if (next.epoch() == owner.epoch() && !next.members().isEmpty()) {
                owner.onReplicas(next);
                return RoleChange.NONE;
            }
            stepDown();
            replicas = next;
            return takeOver(self) ? RoleChange.BECAME_OWNER : RoleChange.LOST_OWNERSHIP;
        }
        replicas = next;
        return takeOver(self) ? RoleChange.BECAME_OWNER : RoleChange.NONE;
    }

    /**
     * Gives up the role of owner, because a later owner exists.
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
     * Takes an append as a replica. If this holder was owner of an earlier epoch and the append is
     * stored, it no longer is.
     *
     * @param append entries from the owner
     * @param events recent membership events in log order
     * @param self incarnations under which this process kept its memory
     * @return reply to the owner
     */
    public AppendReply onAppend(
            Append append, List<MembershipEvent> events, Set<InstanceRef> self) {
        long known = Math.max(log.epoch(), replicas().epoch());
        if (append.epoch() < known || (owner != null && append.epoch() == owner.epoch())) {
            return reply(AppendReply.Status.STALE_EPOCH, known, log.length());
        }
        boolean newEpoch = append.epoch() > log.epoch();
        long version = newEpoch ? 0 : headerVersion;
        CopyHeader header = append.header();
        boolean newer = header != null && header.version() > version;
        if (version == 0 && !newer) {
            return gap(append, version);
        }
        ReplicaSet next = newer ? header.replicas().apply(events) : replicas();
        if (next.epoch() > append.epoch()) {
            return reply(AppendReply.Status.STALE_EPOCH, next.epoch(), log.length());
        }
        if (!log.store(
                append.epoch(), append.fromOffset(), append.tokens(), append.finishReason())) {
            return gap(append, version);
        }
        if (newEpoch) {
            stepDown();
            headerVersion = 0;
        }
        // A copy that lacks committed entries must not learn that it may take over.
        if (newer && log.length() >= append.committedOffset()) {
            adopt(header, next, self);
        }
        log.commit(append.committedOffset());
        return reply(AppendReply.Status.STORED, append.epoch(), log.length());
    }

    private void adopt(CopyHeader header, ReplicaSet next, Set<InstanceRef> self) {
        headerVersion = header.version();
        attempt = header.attempt();
        replicas = next;
        InstanceRef mine =
                header.replicas().members().stream()
                        .filter(self::contains)
                        .findFirst()
                        .orElse(null);
        if (mine != null && header.replicas().isActive(mine)) {
            activeAs = mine;
        } else if (mine == null || !mine.equals(activeAs)) {
            activeAs = null;
        }
    }

    private boolean takeOver(Set<InstanceRef> self) {
        Optional<InstanceRef> first = replicas.owner();
        if (activeAs == null
                || first.isEmpty()
                || !self.contains(first.get())
                || replicas.epoch() <= log.epoch()) {
            return false;
        }
        becomeOwner(first.get(), AttemptBook.numbersOf(replicas.epoch()));
        return true;
    }

    private void becomeOwner(InstanceRef self, int lastAttempt) {
        activeAs = self;
        owner = new GenerationOwner(spec, log, replicas, new AttemptBook(attempt, lastAttempt));
    }

    private AppendReply gap(Append append, long version) {
        return new AppendReply(
                spec.id(),
                AppendReply.Status.GAP,
                append.epoch(),
                log.wantedFrom(append.epoch()),
                version);
    }

    private AppendReply reply(AppendReply.Status status, long epoch, long length) {
        return new AppendReply(spec.id(), status, epoch, length, headerVersion);
    }
}
