package io.sapphirestack.core.control;

import io.sapphirestack.core.id.InstanceRef;
import java.util.Objects;

/**
 * Description of an instance, provided when it joins.
 *
 * @param ref identifier and incarnation
 * @param availabilityZone availability zone from its settings
 * @param region region from its settings
 * @param peerAddress {@code host:port} for traffic between instances
 * @param httpAddress {@code host:port} for callers, endpoints and operators
 * @param readerVersion highest reader version that it supports; it must not be below the {@code
 *     minimumReader} of a record
 */
public record InstanceInfo(
        InstanceRef ref,
        String availabilityZone,
        String region,
        String peerAddress,
        String httpAddress,
        int readerVersion) {

    /** Validates the components. */
    public InstanceInfo {
        Objects.requireNonNull(ref, "ref");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(httpAddress, "httpAddress");
    }
}
