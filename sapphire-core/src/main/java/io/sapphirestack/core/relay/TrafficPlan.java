package io.sapphirestack.core.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Validated set of all routes, services, accounts and limits of one plan version. Immutable. */
public final class TrafficPlan {

    private final long version;
    private final CallerLimits limits;
    private final Map<String, RelayedService> services;
    private final Map<String, List<TrafficRoute>> routesByHost;
    private final Map<String, String> prefixOctets;
    private final Map<String, List<TrafficRoute>> routesByService;
    private final Map<String, RelayedAccount> accountsByKey;
    private final CallerAuthentication authentication;
    private final Map<String, List<Integer>> streamPriorities;

    /**
     * Creates a plan.
     *
     * @param version version number set by the operator, positive
     * @param routes routes; no two may share a host and a path prefix
     * @param services services that the routes refer to, with unique names
     * @param authentication how callers authenticate, with the client accounts
     * @param limits limits on requests and connections of callers
     * @throws TrafficPlanException if a value is invalid or the parts contradict each other
     */
    public TrafficPlan(
            long version,
            List<TrafficRoute> routes,
            List<RelayedService> services,
            CallerAuthentication authentication,
            CallerLimits limits)
            throws TrafficPlanException {
        check(version > 0, "version must be positive");
        this.version = version;
        this.limits = limits;
        this.services = indexServices(services);
        this.routesByHost = indexRoutes(routes);
        this.prefixOctets = indexPrefixOctets(routes);
        this.routesByService = indexByService(routes);
        this.accountsByKey = indexAccounts(authentication.accounts());
        this.authentication = authentication;
        this.streamPriorities =
                routesByService.keySet().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        service -> service, this::findStreamPriorities));
    }

    /** Returns the version number set by the operator. */
    public long version() {
        return version;
    }

    /** Returns the limits on requests and connections of callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the host names of all routes, in lower case and without ports. */
    public Set<String> hosts() {
        return routesByHost.keySet();
    }

    /**
     * Selects the route with the longest matching path prefix.
     *
     * @param host host of the request, in any case, with or without a port
     * @param path path of the request as its octets, with or without a query; octets beyond ASCII
     *     may be percent-encoded, see {@link HeaderText}
     * @return the route, or empty if none matches
     */
    public Optional<TrafficRoute> route(String host, String path) {
        List<TrafficRoute> routes = routesByHost.getOrDefault(normalize(host), List.of());
        if (prefixOctets.isEmpty()) {
            return routes.stream().filter(r -> path.startsWith(r.pathPrefix())).findFirst();
        }
        String octets = HeaderText.decodeHighOctets(path);
        return routes.stream().filter(r -> octets.startsWith(octetsOf(r.pathPrefix()))).findFirst();
    }

    private String octetsOf(String prefix) {
        return prefixOctets.getOrDefault(prefix, prefix);
    }

    /** Returns the octets of the path prefixes that are not ASCII, by prefix. */
    private static Map<String, String> indexPrefixOctets(List<TrafficRoute> routes)
            throws TrafficPlanException {
        Map<String, String> index = new HashMap<>();
        for (TrafficRoute route : routes) {
            String prefix = route.pathPrefix();
            check(
                    HeaderText.isEncodable(prefix),
                    "route " + route.name() + ": the path prefix is not valid Unicode");
            HeaderText.octetsOf(prefix)
                    .filter(octets -> !octets.equals(prefix))
                    .ifPresent(octets -> index.put(prefix, octets));
        }
        return Map.copyOf(index);
    }

    /**
     * Returns the names of the routes that send requests to a service.
     *
     * @param service name of the service
     * @return names, possibly none
     */
    public Set<String> routesOf(String service) {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(
                        route ->
                                route.targets().stream().anyMatch(t -> t.service().equals(service)))
                .map(TrafficRoute::name)
                .collect(Collectors.toSet());
    }

    /** Returns the names of all services. */
    public Set<String> serviceNames() {
        return services.keySet();
    }

    /**
     * Finds a service.
     *
     * @param name name of the service
     * @return the service, or empty if there is none
     */
    public Optional<RelayedService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the routes that send requests to a service.
     *
     * @param service name of the service
     * @return routes with a positive weight for the service, possibly none
     */
    public List<TrafficRoute> routesTo(String service) {
        return routesByService.getOrDefault(service, List.of());
    }

    /**
     * Returns the priorities that streams to a service may have: those of the accounts, and those
     * of the routes for requests of accounts without a priority.
     *
     * @param service name of the service
     * @return distinct priorities, the highest first
     */
    public List<Integer> streamPriorities(String service) {
        return streamPriorities.getOrDefault(service, List.of());
    }

    private List<Integer> findStreamPriorities(String service) {
        List<TrafficRoute> streams =
                routesTo(service).stream().filter(route -> route.kind().isStream()).toList();
        if (streams.isEmpty()) {
            return List.of();
        }
        Set<Integer> priorities = new TreeSet<>();
        accountsByKey.values().forEach(account -> account.priority().ifPresent(priorities::add));
        boolean usesRoutes =
                !needsKeys()
                        || streams.stream().anyMatch(TrafficRoute::isOpen)
                        || accountsByKey.values().stream().anyMatch(a -> a.priority().isEmpty());
        if (usesRoutes) {
            streams.forEach(route -> priorities.add(route.priority()));
        }
        return List.copyOf(priorities);
    }

    /** Returns whether requests need a key on routes that are not open. */
    public boolean needsKeys() {
        return authentication.needsKeys();
    }

    /**
     * Finds the account of a key.
     *
     * @param key API key as the header field of a request carries it, see {@link HeaderText}
     * @return the account, or empty if no account has this key
     */
    public Optional<RelayedAccount> account(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    private static String normalize(String host) {
        int colon = host.lastIndexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    private static Map<String, RelayedService> indexServices(List<RelayedService> services)
            throws TrafficPlanException {
        Map<String, RelayedService> index = new HashMap<>();
        for (RelayedService service : services) {
            check(
                    HeaderText.isEncodable(service.name()),
                    "the name of a service is not valid Unicode");
            check(
                    index.put(service.name(), service) == null,
                    "duplicate service name " + service.name());
        }
        return Map.copyOf(index);
    }

    private Map<String, List<TrafficRoute>> indexRoutes(List<TrafficRoute> routes)
            throws TrafficPlanException {
        Map<String, List<TrafficRoute>> index = new HashMap<>();
        Set<String> hostsWithPrefixes = new HashSet<>();
        for (TrafficRoute route : routes) {
            String host = normalize(route.host());
            checkRoute(route);
            check(
                    hostsWithPrefixes.add(host + route.pathPrefix()),
                    "duplicate route for host and path prefix " + host + route.pathPrefix());
            index.computeIfAbsent(host, key -> new ArrayList<>()).add(route);
        }
        index.values()
                .forEach(
                        list ->
                                list.sort(
                                        Comparator.comparingInt(
                                                route -> -route.pathPrefix().length())));
        index.replaceAll((host, list) -> List.copyOf(list));
        return Map.copyOf(index);
    }

    private static Map<String, List<TrafficRoute>> indexByService(List<TrafficRoute> routes) {
        Map<String, List<TrafficRoute>> index = new HashMap<>();
        for (TrafficRoute route : routes) {
            route.targets().stream()
                    .filter(target -> target.weight() > 0)
                    .map(TrafficRoute.Target::service)
                    .distinct()
                    .forEach(s -> index.computeIfAbsent(s, key -> new ArrayList<>()).add(route));
        }
        index.replaceAll((service, list) -> List.copyOf(list));
        return Map.copyOf(index);
    }

    private void checkRoute(TrafficRoute route) throws TrafficPlanException {
        String messagePrefix = "route " + route.name() + ": ";
        check(
                route.pathPrefix().startsWith("/") && route.pathPrefix().endsWith("/"),
                messagePrefix + "the path prefix must begin and end with a slash");
        check(route.timeoutMs() > 0, messagePrefix + "the timeout must be positive");
        check(route.maxAttempts() > 0, messagePrefix + "maxAttempts must be positive");
        check(!route.targets().isEmpty(), messagePrefix + "at least one target is required");
        long totalWeight = 0;
        for (TrafficRoute.Target target : route.targets()) {
            check(target.weight() >= 0, messagePrefix + "target weights must not be negative");
            check(
                    services.containsKey(target.service()),
                    messagePrefix + "target service " + target.service() + " is not defined");
            totalWeight += target.weight();
        }
        check(totalWeight > 0, messagePrefix + "at least one target weight must be positive");
    }

    private static Map<String, RelayedAccount> indexAccounts(List<RelayedAccount> accounts)
            throws TrafficPlanException {
        Map<String, RelayedAccount> index = new HashMap<>();
        Map<String, String> namesByValue = new HashMap<>();
        Map<String, RelayedAccount> keys = new HashMap<>();
        for (RelayedAccount account : accounts) {
            check(
                    HeaderText.isEncodable(account.name()),
                    "the name of an account is not valid Unicode");
            String other = namesByValue.put(HeaderText.valueOf(account.name()), account.name());
            check(
                    other == null || other.equals(account.name()),
                    "endpoints cannot tell the accounts "
                            + account.name()
                            + " and "
                            + other
                            + " apart");
            for (String key : account.keys()) {
                RelayedAccount owner = keys.put(key, account);
                check(
                        owner == null || owner == account,
                        "account " + account.name() + " shares a key with another account");
                check(
                        HeaderText.isEncodable(key),
                        "a key of account " + account.name() + " is not valid Unicode");
                // No request can carry the other keys.
                HeaderText.octetsOf(key).ifPresent(octets -> index.put(octets, account));
            }
        }
        return Map.copyOf(index);
    }

    private static void check(boolean valid, String message) throws TrafficPlanException {
        if (!valid) {
            throw new TrafficPlanException("local", message, null);
        }
    }
}
