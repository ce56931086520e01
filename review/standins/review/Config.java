package review;

import java.util.List;

/** Desired states of a small deployment: four routes, three services and two tenants. */
final class Config {
    static final String HOST = "jepu9.example";
    static final String STOCK = "/stock/";
    static final String ORDER = "/order/";
    static final String HISTORY = "/history/";
    static final String RECORD = "/record/";
    static final String KEY = "9anu6wsjnbanfqasnmgk";
    static final String KEY_TO_DROP = "cuyj8pjbvk9m68k7b2ex";

    private Config() {}

    /** Returns a desired state; {@code keys} are those of the first tenant. */
    static String write(int version, List<String> keys) {
        String list = String.join(",", keys.stream().map(Json::quote).toList());
        return "{\"version\":\"r" + version + "\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"prefix\",\"type\","
                + "\"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_split\",\"max_attempts\",\"anonymous\","
                + "\"sticky_sessions\",\"allowed_regions\",\"service\"],\"rows\":["
                + route("r-stock", STOCK, "safe", 1500, 400, 2, "catalogue") + ","
                + route("r-order", ORDER, "unsafe", 2000, 600, 1, "orders") + ","
                + route("r-history", HISTORY, "safe", 6000, 1500, 2, "archive") + ","
                + route("r-record", RECORD, "unsafe", 6000, 1500, 2, "archive")
                + "]},\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\"tls\","
                + "\"cold_start_s\",\"cold_per_s\"],\"rows\":[" + service("catalogue") + "," + service("orders") + ","
                + service("archive")
                + "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\","
                + "\"burst\",\"allowed_regions\"],\"rows\":[[\"sese880\",[" + list
                + "],1,0,0,[]],[\"mimo31\",[\"wkq2v8nfs0dexa7m\"],1,0,0,[]]]}}";
    }

    private static String route(
            String name, String prefix, String type, int timeoutMs, int targetMs, int priority, String service) {
        return "[\"" + name + "\",\"" + HOST + "\",\"" + prefix + "\",\"" + type + "\"," + timeoutMs + "," + targetMs
                + "," + priority + ",null,2,false,false,[],\"" + service + "\"]";
    }

    private static String service(String name) {
        return "[\"" + name + "\",\"/health\",330,\"h1\",false,3.0,4.4]";
    }
}
