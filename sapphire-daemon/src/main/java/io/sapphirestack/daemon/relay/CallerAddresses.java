package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.daemon.PlannedStopRecord;
import java.util.List;

/** Selects the addresses of the instances that a caller should connect to. */
final class CallerAddresses {

    /**
     * Minimum number of instances in the availability zone of the caller for a list of only these.
     * With fewer, the caller has no alternative there when one fails.
     */
    static final int MIN_IN_ZONE = 2;

    /** Maximum number of addresses in one list. */
    static final int MAX_ADDRESSES = 64;

    private CallerAddresses() {}

    /** Chooses among the instances of a view, without those for which a stop is planned. */
    static List<String> ofView(ControlView view, String availabilityZone) {
        return choose(
                view.instances().values().stream()
                        .filter(info -> PlannedStopRecord.find(view, info.ref()).isEmpty())
                        .toList(),
                availabilityZone);
    }

    static List<String> choose(List<InstanceInfo> instances, String availabilityZone) {
        List<String> sameZone =
                instances.stream()
                        .filter(info -> info.availabilityZone().equals(availabilityZone))
                        .map(InstanceInfo::httpAddress)
                        .limit(MAX_ADDRESSES)
                        .toList();
        return sameZone.size() >= MIN_IN_ZONE
                ? sameZone
                : instances.stream().map(InstanceInfo::httpAddress).limit(MAX_ADDRESSES).toList();
    }
}
