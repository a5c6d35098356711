package io.sapphirestack.core.routing;

import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.ModelPin;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Work for which an endpoint is wanted.
 *
 * @param kind kind of work
 * @param service service that must execute it
 * @param account client account that asked
 * @param pin exact model variant, for generations
 * @param prefix hashes of the prompt's blocks; {@link PrefixHashes#NONE} for other work
 * @param excluded endpoints that must not be chosen, such as one that just failed
 */
public record RoutingRequest(
        WorkKind kind,
        String service,
        AccountId account,
        Optional<ModelPin> pin,
        PrefixHashes prefix,
        Set<EndpointId> excluded) {

    /** Checks the components. */
    public RoutingRequest {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(pin, "pin");
        Objects.requireNonNull(prefix, "prefix");
        excluded = Set.copyOf(excluded);
    }
}
