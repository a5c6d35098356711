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

/** Complete, checked set of routes, services, accounts and limits of one version. Immutable. */
public final class TrafficPlan {

    private final long version;
    private final CallerLimits limits;
    private final Map<String, RelayedService> services;
    private final Map<String, List<TrafficRoute>> routesByHost;
    private final Map<String, RelayedAccount> accountsByKey;
    private final boolean hasAccounts;

    /**
     * Creates a plan.
     *
     * @param version number that the operator gave it, positive
     * @param routes routes
     * @param services services
     * @param accounts accounts; if there are none, requests need no key
     * @param limits bounds on what callers may send
     * @throws TrafficPlanException if the parts contradict each other
     */
    public TrafficPlan(
            long version,
            List<TrafficRoute> routes,
            List<RelayedService> services,
            List<RelayedAccount> accounts,
            CallerLimits limits)
            throws TrafficPlanException {
        check(version > 0, "version must be positive");
        this.version = version;
        this.limits = limits;
        this.services = indexServices(services);
        this.routesByHost = indexRoutes(routes);
        this.accountsByKey = indexAccounts(accounts);
        this.hasAccounts = !accounts.isEmpty();
    }

    /** Returns the number that the operator gave the plan. */
    public long version() {
        return version;
    }

    /** Returns the bounds on what callers may send. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the names of all hosts. */
    public Set<String> hosts() {
        return routesByHost.keySet();
    }

    /**
     * Selects the route with the longest matching prefix.
     *
     * @param host host that the request names, with or without a port
     * @param path path, with or without a query
     * @return the route, or empty if none matches
     */
    public Optional<TrafficRoute> route(String host, String path) {
        return routesByHost.getOrDefault(normalize(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds a service.
     *
     * @param name name
     * @return the service, or empty if there is none
     */
    public Optional<RelayedService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns whether requests need a key, unless their route is open. */
    public boolean needsKeys() {
        return hasAccounts;
    }

    /**
     * Finds the account of a key.
     *
     * @param key key that a request carries
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
                    index.put(service.name(), service) == null,
                    "two services are named " + service.name());
        }
        return Map.copyOf(index);
    }

    private Map<String, List<TrafficRoute>> indexRoutes(List<TrafficRoute> routes)
            throws TrafficPlanException {
        Map<String, List<TrafficRoute>> index = new HashMap<>();
        Set<String> places = new HashSet<>();
        for (TrafficRoute route : routes) {
            String host = normalize(route.host());
            checkRoute(route);
            check(
                    places.add(host + route.pathPrefix()),
                    "two routes share " + host + route.pathPrefix());
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

    private void checkRoute(TrafficRoute route) throws TrafficPlanException {
        String where = "route " + route.name() + ": ";
        check(
                route.pathPrefix().startsWith("/") && route.pathPrefix().endsWith("/"),
                where + "the prefix must begin and end with a slash");
        check(route.timeoutMs() > 0, where + "the timeout must be positive");
        check(route.maxAttempts() > 0, where + "at least one attempt must be allowed");
        check(!route.targets().isEmpty(), where + "no service is named");
        long weights = 0;
        for (TrafficRoute.Target target : route.targets()) {
            check(target.weight() >= 0, where + "a weight is negative");
            check(
                    services.containsKey(target.service()),
                    where + "service " + target.service() + " is unknown");
            weights += target.weight();
        }
        check(weights > 0, where + "the weights add up to 0");
    }

    private static Map<String, RelayedAccount> indexAccounts(List<RelayedAccount> accounts)
            throws TrafficPlanException {
        Map<String, RelayedAccount> index = new HashMap<>();
        for (RelayedAccount account : accounts) {
            for (String key : account.keys()) {
                RelayedAccount other = index.put(key, account);
                check(
                        other == null || other == account,
                        "account " + account.name() + " shares a key with another account");
            }
        }
        return Map.copyOf(index);
    }

    private static void check(boolean holds, String problem) throws TrafficPlanException {
        if (!holds) {
            throw new TrafficPlanException("local", problem, null);
        }
    }
}
