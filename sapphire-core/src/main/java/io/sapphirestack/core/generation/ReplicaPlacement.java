package io.sapphirestack.core.generation;

import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Selects the instances that hold copies of a generation or the entry of an idempotency key. */
public final class ReplicaPlacement {

    private ReplicaPlacement() {}

    /**
     * Selects instances for further copies. Instances in availability zones without a copy are
     * preferred, then instances in the owner's region, then the rendezvous order of the generation.
     *
     * @param id identifier of the generation
     * @param owner instance that owns the generation
     * @param candidates live, ready instances
     * @param holders instances that have a copy, including the owner, or must not be selected
     * @param maxCount maximum number of instances to select
     * @return selected instances, best first; may be fewer than {@code maxCount}
     */
    public static List<InstanceInfo> choose(
            GenerationId id,
            InstanceInfo owner,
            Collection<InstanceInfo> candidates,
            Set<InstanceId> holders,
            int maxCount) {
        Set<String> usedZones =
                candidates.stream()
                        .filter(info -> holders.contains(info.ref().id()))
                        .map(InstanceInfo::availabilityZone)
                        .collect(Collectors.toCollection(HashSet::new));
        usedZones.add(owner.availabilityZone());
        Comparator<InstanceId> rendezvous = RendezvousHash.comparatorFor(id.value());
        List<InstanceInfo> remaining =
                candidates.stream()
                        .filter(info -> !holders.contains(info.ref().id()))
                        .filter(info -> !info.ref().id().equals(owner.ref().id()))
                        .sorted((a, b) -> rendezvous.compare(a.ref().id(), b.ref().id()))
                        .collect(Collectors.toCollection(ArrayList::new));
        List<InstanceInfo> chosen = new ArrayList<>();
        while (chosen.size() < maxCount && !remaining.isEmpty()) {
            InstanceInfo best = remaining.get(0);
            for (InstanceInfo info : remaining) {
                if (rank(info, owner, usedZones) < rank(best, owner, usedZones)) {
                    best = info;
                }
            }
            remaining.remove(best);
            chosen.add(best);
            usedZones.add(best.availabilityZone());
        }
        return chosen;
    }

    private static int rank(InstanceInfo info, InstanceInfo owner, Set<String> usedZones) {
        return (usedZones.contains(info.availabilityZone()) ? 2 : 0)
                + (info.region().equals(owner.region()) ? 0 : 1);
    }

    /**
     * Returns the two instances that store the entry of an idempotency key.
     *
     * @param account client account
     * @param key idempotency key
     * @param live live instances
     * @return at most two instances, in the order in which they are queried
     */
    public static List<InstanceRef> chooseKeyHolders(
            AccountId account, String key, Collection<InstanceInfo> live) {
        Comparator<InstanceId> rendezvous =
                RendezvousHash.comparatorFor(account.value() + '\u0000' + key);
        return live.stream()
                .map(InstanceInfo::ref)
                .sorted((a, b) -> rendezvous.compare(a.id(), b.id()))
                .limit(2)
                .toList();
    }
}
