/** What the operator writes into the store. */
final class Documents {
    private Documents() {}

    static String config(long version, int maxBodyBytes) {
        return """
                {"version":%d,"routes":[
                {"name":"r-letter","host":"h.example","prefix":"/letter/","kind":"non_idempotent","timeout_ms":3000,
                "target_latency_ms":400,"priority":2,"service":"waitlist","max_attempts":1,"public":false,
                "sticky":false,"resumable":false},
                {"name":"r-query","host":"h.example","prefix":"/query/","kind":"streaming","timeout_ms":12000,
                "target_latency_ms":500,"priority":0,"service":"lm","max_attempts":2,"public":false,"sticky":true,
                "resumable":true,"gap_target_ms":500}],
                "services":[{"name":"waitlist","health_path":"/health","max_connections":370,"protocol":"h1","tls":false},
                {"name":"lm","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,
                "engine":{"slots":64,"kv_capacity_tokens":94571,"kv_token_bytes":163840,"link_mbps":530000.0,
                "moves":true,"backups":true,"stride":6,"max_concurrency":12,"pin_ms":4000.0,"hold_ms":2000.0,
                "handle_s":5.0,"models":[{"name":"%s"}]}}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,
                "idle_timeout_ms":15000},
                "tenants":[{"name":"sese880","api_keys":["key1"],"priority":1,"isolated":false}]}
                """
                .formatted(version, Replica.MODEL, maxBodyBytes);
    }

    static String weights(long version) {
        return "{\"model\":\"" + Replica.MODEL + "\",\"version\":" + version + "}";
    }
}
