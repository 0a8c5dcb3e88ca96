package review;

import java.util.Map;
import java.util.StringJoiner;

/** The operator's manifest of a small deployment: one host, and one route for each prefix. */
final class Manifest {

    static final String HOST = "hulo84.example";

    private final StringJoiner rules = new StringJoiner(",", "[", "]");
    private final StringJoiner clusters = new StringJoiner(",", "[", "]");

    Manifest route(String prefix, String kind, String service, String targetLatency, String timeout) {
        return route(prefix, kind, service, targetLatency, timeout, 2);
    }

    Manifest split(String prefix, String kind, Map<String, Integer> weights, String targetLatency, String timeout) {
        StringJoiner parts = new StringJoiner(",", "\"weightedClusters\":[", "]");
        weights.forEach((service, weight) -> parts.add("{\"service\":\"" + service + "\",\"weight\":" + weight + "}"));
        return add(prefix, kind, parts.toString(), targetLatency, timeout, 2);
    }

    Manifest route(
            String prefix, String kind, String service, String targetLatency, String timeout, int attempts) {
        return add(prefix, kind, "\"service\":\"" + service + "\"", targetLatency, timeout, attempts);
    }

    private Manifest add(
            String prefix, String kind, String destination, String targetLatency, String timeout, int attempts) {
        rules.add("{\"name\":\"r" + prefix.replace('/', '-') + "\",\"kind\":\"" + kind + "\",\"targetLatency\":\""
                + targetLatency + "\",\"priority\":1,\"match\":{\"prefix\":\"" + prefix + "\"},\"action\":{"
                + destination + ",\"timeout\":\"" + timeout + "\",\"maxAttempts\":" + attempts + "}}");
        return this;
    }

    Manifest service(String name) {
        clusters.add("{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":260,"
                + "\"protocol\":\"h1\",\"tls\":false}");
        return this;
    }

    String text(int version) {
        return "{\"version\":\"r" + version + "\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                + "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},\"listeners\":[{\"host\":\"" + HOST
                + "\",\"rules\":" + rules + "}],\"clusters\":" + clusters + "}";
    }
}
