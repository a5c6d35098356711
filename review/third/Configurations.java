import java.util.List;

/** Texts of configurations, with the fields that the platform's pages name. */
final class Configurations {

    /** Host of all routes. */
    static final String HOST = "ficu95.example";

    private Configurations() {}

    /** Returns a configuration; {@code tenants} is the text of the field, with its brackets. */
    static String text(int version, List<String> routes, List<String> services, String tenants) {
        String serviceList =
                String.join(",", services.stream().map(Configurations::service).toList());
        return """
                {"version":%d,"routes":[%s],"services":[%s],\
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
                "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":%s}"""
                .formatted(version, String.join(",", routes), serviceList, tenants);
    }

    private static String service(String name) {
        return """
                {"name":"%s","health_path":"/health","max_connections":120,"protocol":"h1",\
                "tls":false}"""
                .formatted(name);
    }

    /** Returns a route for requests that may run at most once. */
    static String route(String name, String pathPrefix, String service) {
        return """
                {"name":"%s","hostname":"%s","path_prefix":"%s","route_type":"non_idempotent",\
                "timeout_ms":1000,"target_latency_ms":150,"priority":1,"service":"%s",\
                "max_attempts":1,"auth_exempt":false,"session_affinity":false}"""
                .formatted(name, HOST, pathPrefix, service);
    }

    /** Returns the text of the tenants, one with one key. */
    static String tenant(String name, String key) {
        return "[{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"priority\":1}]".formatted(name, key);
    }
}
