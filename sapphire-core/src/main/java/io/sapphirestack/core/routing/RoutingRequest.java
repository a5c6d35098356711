package io.sapphirestack.core.routing;

import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.ModelPin;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Request to choose an endpoint for new work.
 *
 * @param kind kind of work
 * @param service name of the service that executes the work
 * @param account client account that sent the request
 * @param pin exact model variant; empty for work that is no generation
 * @param prefix hashes of the blocks of the prompt; {@link PrefixHashes#NONE} for work without one
 * @param excluded endpoints that must not be chosen, such as one at which an attempt just failed
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
