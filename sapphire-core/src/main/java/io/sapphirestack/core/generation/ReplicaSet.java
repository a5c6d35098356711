package io.sapphirestack.core.generation;

import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.id.InstanceRef;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Owner and members of a generation. They are a function of a member list and the membership events
 * after it, so that all instances with a copy compute the same owner. Immutable.
 *
 * @param asOf control log index of the last applied membership event
 * @param epoch control log index of the event by which the current owner became owner
 * @param members live members; the first one is the owner
 * @param active number of members, counted from the first, that may take over. A member that the
 *     owner has just added becomes active only when all members before it know the longer list.
 *     Otherwise one of them could take over and continue without the new member, whose copy would
 *     then be incomplete
 * @param pending active members from just before the last member was evicted; empty while there is
 *     an owner
 */
public record ReplicaSet(
        long asOf, long epoch, List<InstanceRef> members, int active, List<InstanceRef> pending) {

    /** Copies the lists and checks the number of active members. */
    public ReplicaSet {
        members = List.copyOf(members);
        pending = List.copyOf(pending);
        if (active < 0 || active > members.size()) {
            throw new IllegalArgumentException("active must be between 0 and the member count");
        }
    }

    /**
     * Creates the set of a generation that was just accepted and has no replicas yet.
     *
     * @param owner incarnation of the accepting instance
     * @param revision revision of the control view on that instance
     * @return set with the owner as the only member
     */
    public static ReplicaSet initial(InstanceRef owner, long revision) {
        return new ReplicaSet(revision, revision, List.of(owner), 1, List.of());
    }

    /** Returns the owner, or empty while ownership is pending. */
    public Optional<InstanceRef> owner() {
        return members.isEmpty() ? Optional.empty() : Optional.of(members.get(0));
    }

    /**
     * Returns whether an incarnation is an active member, which may take over.
     *
     * @param ref incarnation of an instance
     * @return whether it is an active member
     */
    public boolean isActive(InstanceRef ref) {
        int index = members.indexOf(ref);
        return index >= 0 && index < active;
    }

    /**
     * Returns a set with an additional member that is not active yet.
     *
     * @param ref new member
     * @return set with the member, or this set if it is a member already
     */
    public ReplicaSet withMember(InstanceRef ref) {
        Objects.requireNonNull(ref, "ref");
        if (members.contains(ref)) {
            return this;
        }
        List<InstanceRef> extended = new ArrayList<>(members);
        extended.add(ref);
        return new ReplicaSet(asOf, epoch, extended, active, pending);
    }

    /** Returns a set in which the first inactive member is active. */
    public ReplicaSet withNextActive() {
        return new ReplicaSet(asOf, epoch, members, active + 1, pending);
    }

    /**
     * Applies membership events.
     *
     * @param events events in log order; those up to {@link #asOf()} are skipped
     * @return set after the events
     */
    public ReplicaSet apply(List<MembershipEvent> events) {
        ReplicaSet set = this;
        long last = asOf;
        for (MembershipEvent event : events) {
            if (event.index() <= asOf) {
                continue;
            }
            if (event instanceof MembershipEvent.Evicted evicted) {
                set = set.evict(evicted.refs(), event.index());
            } else if (event instanceof MembershipEvent.Joined joined) {
                set = set.join(joined);
            }
            last = Math.max(last, event.index());
        }
        return last == asOf
                ? this
                : new ReplicaSet(last, set.epoch, set.members, set.active, set.pending);
    }

    private ReplicaSet evict(List<InstanceRef> refs, long index) {
        List<InstanceRef> remaining = new ArrayList<>();
        int stillActive = 0;
        for (int i = 0; i < members.size(); i++) {
            InstanceRef member = members.get(i);
            if (!refs.contains(member)) {
                remaining.add(member);
                stillActive += i < active ? 1 : 0;
            }
        }
        if (remaining.size() == members.size()) {
            return this;
        }
        if (remaining.isEmpty()) {
            // An inactive member may lack tokens of an owner that did not have it in its list.
            return new ReplicaSet(asOf, epoch, List.of(), 0, members.subList(0, active));
        }
        boolean sameOwner = remaining.get(0).equals(members.get(0));
        return new ReplicaSet(asOf, sameOwner ? epoch : index, remaining, stillActive, List.of());
    }

    private ReplicaSet join(MembershipEvent.Joined joined) {
        // A joining incarnation replaces earlier ones of the instance, as if they were evicted.
        List<InstanceRef> replaced =
                members.stream()
                        .filter(member -> member.id().equals(joined.ref().id()))
                        .filter(member -> member.incarnation() < joined.ref().incarnation())
                        .toList();
        ReplicaSet set = replaced.isEmpty() ? this : evict(replaced, joined.index());
        boolean takesOver =
                set.members.isEmpty()
                        && joined.retainedFrom().isPresent()
                        && set.pending.contains(joined.retainedFrom().get());
        return takesOver
                ? new ReplicaSet(asOf, joined.index(), List.of(joined.ref()), 1, List.of())
                : set;
    }
}
