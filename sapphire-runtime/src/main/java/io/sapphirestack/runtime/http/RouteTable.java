package io.sapphirestack.runtime.http;

import io.sapphirestack.core.error.RefusedException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.core5.net.PercentCodec;

/** Table of routes by method and path. Adding routes is not thread-safe; lookups are. */
final class RouteTable {

    private final List<Route> routes = new ArrayList<>();

    /** Handles the requests of a route. */
    @FunctionalInterface
    interface Handler {
        ApiResponse handle(ApiRequest request) throws RefusedException, IOException;
    }

    /**
     * Route of a method and a path pattern.
     *
     * @param method HTTP method
     * @param pattern path, in which {@code {name}} matches one segment and {@code {name...}} the
     *     undecoded rest of the path
     * @param segments segments of the pattern
     * @param handler handles matching requests
     */
    record Route(String method, String pattern, List<String> segments, Handler handler) {}

    /**
     * Route that matched a request.
     *
     * @param route route
     * @param parameters path parameters by name
     */
    record Match(Route route, Map<String, String> parameters) {}

    RouteTable add(String method, String pattern, Handler handler) {
        routes.add(new Route(method, pattern, split(pattern), handler));
        return this;
    }

    Optional<Match> find(String method, String rawPath) {
        List<String> path = split(rawPath);
        for (Route route : routes) {
            if (route.method().equals(method)) {
                Map<String, String> parameters = new HashMap<>();
                if (matches(route.segments(), path, parameters)) {
                    return Optional.of(new Match(route, parameters));
                }
            }
        }
        return Optional.empty();
    }

    private static List<String> split(String path) {
        return List.of(path.substring(path.startsWith("/") ? 1 : 0).split("/", -1));
    }

    private static boolean matches(
            List<String> pattern, List<String> path, Map<String, String> parameters) {
        for (int i = 0; i < pattern.size(); i++) {
            String expected = pattern.get(i);
            if (expected.endsWith("...}")) {
                if (i >= path.size()) {
                    return false;
                }
                String rest = String.join("/", path.subList(i, path.size()));
                parameters.put(expected.substring(1, expected.length() - 4), rest);
                return true;
            }
            if (i >= path.size()) {
                return false;
            }
            if (expected.startsWith("{")) {
                String value = PercentCodec.decode(path.get(i), StandardCharsets.UTF_8);
                if (value.isEmpty()) {
                    return false;
                }
                parameters.put(expected.substring(1, expected.length() - 1), value);
            } else if (!expected.equals(path.get(i))) {
                return false;
            }
        }
        return pattern.size() == path.size();
    }
}
