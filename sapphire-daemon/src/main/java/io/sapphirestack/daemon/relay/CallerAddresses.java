package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.control.InstanceInfo;
import java.util.List;

/** Chooses the instances that a caller should use. */
final class CallerAddresses {

    /** Fewer instances than this in the caller's zone leave it no choice when one fails. */
    static final int MIN_IN_ZONE = 2;

    /** Longest list that a caller gets. */
    static final int MAX_ADDRESSES = 64;

    private CallerAddresses() {}

    static List<String> choose(List<InstanceInfo> instances, String availabilityZone) {
        List<String> near =
                instances.stream()
                        .filter(info -> info.availabilityZone().equals(availabilityZone))
                        .map(InstanceInfo::httpAddress)
                        .limit(MAX_ADDRESSES)
                        .toList();
        return near.size() >= MIN_IN_ZONE
                ? near
                : instances.stream().map(InstanceInfo::httpAddress).limit(MAX_ADDRESSES).toList();
    }
}
