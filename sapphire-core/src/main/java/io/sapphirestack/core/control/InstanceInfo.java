package io.sapphirestack.core.control;

import io.sapphirestack.core.id.InstanceRef;
import java.util.Objects;

/**
 * What an instance tells about itself when it joins.
 *
 * @param ref name and incarnation
 * @param availabilityZone availability zone from its settings
 * @param region region from its settings
 * @param peerAddress {@code host:port} for traffic between instances
 * @param httpAddress {@code host:port} for callers, endpoints and operators
 * @param readerVersion highest record schema version that it reads
 */
public record InstanceInfo(
        InstanceRef ref,
        String availabilityZone,
        String region,
        String peerAddress,
        String httpAddress,
        int readerVersion) {

    /** Checks the components. */
    public InstanceInfo {
        Objects.requireNonNull(ref, "ref");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(httpAddress, "httpAddress");
    }
}
