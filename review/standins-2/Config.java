import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The operator's configurations. */
final class Config {
    private Config() {}

    static String streamRoute(String name, boolean resumable, int attempts, int timeoutMillis, int targetMillis) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"a.example\",\"prefix\":\"/" + name + "/\",\"kind\":\"streaming\","
                + "\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":" + targetMillis
                + ",\"priority\":0,\"service\":\"lm-pool\",\"max_attempts\":" + attempts
                + ",\"public\":false,\"sticky\":true,\"resumable\":" + resumable + ",\"gap_target_ms\":500}";
    }

    private static String engineService(String name, String... models) {
        String list = Stream.of(models).map(m -> "{\"name\":\"" + m + "\"}").collect(Collectors.joining(","));
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":94571,\"kv_token_bytes\":163840,"
                + "\"link_mbps\":530000.0,\"models\":[" + list + "]}}";
    }

    /** Returns a configuration with two models, each on a service of its own or both on the same one. */
    static String twoModels(int version, boolean shared) {
        String first = streamRoute("ma", true, 2, 12_000, 500);
        String second = streamRoute("mb", true, 2, 12_000, 500);
        return shared
                ? text(version, first + "," + second, engineService("lm-pool", "ma", "mb"), false)
                : text(
                        version,
                        first + "," + second.replace("lm-pool", "lm-second"),
                        engineService("lm-pool", "ma") + "," + engineService("lm-second", "mb"),
                        false);
    }

    /** Returns a configuration with one model, and two tenants. */
    static String oneModel(int version, String routes, boolean secondIsolated) {
        return text(version, routes, engineService("lm-pool", "ma"), secondIsolated);
    }

    private static String text(int version, String routes, String services, boolean secondIsolated) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1,\"isolated\":false},"
                + "{\"name\":\"t2\",\"api_keys\":[\"key2\"],\"priority\":1,\"isolated\":" + secondIsolated + "}]}";
    }

    /** Returns a configuration with one plain service. */
    static String plain(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-letter\",\"host\":\"a.example\","
                + "\"prefix\":\"/letter/\",\"kind\":\"non_idempotent\",\"timeout_ms\":600,"
                + "\"target_latency_ms\":121,\"priority\":2,\"service\":\"app\",\"max_attempts\":1,"
                + "\"public\":false,\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"app\","
                + "\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1,\"isolated\":false}]}";
    }
}
