import java.util.List;

/** A manifest of the operator. */
final class Manifest {

    private Manifest() {}

    static String rule(
            String name, String kind, String prefix, String service, int targetMs, int timeoutMs, int attempts) {
        return "{\"name\":\"" + name + "\",\"kind\":\"" + kind + "\",\"targetLatency\":\"" + targetMs
                + "ms\",\"priority\":1,\"match\":{\"prefix\":\"" + prefix + "\"},\"action\":{\"service\":\"" + service
                + "\",\"timeout\":\"" + timeoutMs + "ms\",\"maxAttempts\":" + attempts + "}}";
    }

    static String text(int version, String host, List<String> rules, List<String> services) {
        StringBuilder clusters = new StringBuilder();
        for (String service : services) {
            clusters.append(clusters.length() == 0 ? "" : ",")
                    .append("{\"name\":\"" + service
                            + "\",\"healthPath\":\"/health\",\"maxConnections\":260,\"protocol\":\"h1\",\"tls\":false}");
        }
        return "{\"version\":\"r" + version
                + "\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                + "\"idleTimeout\":\"15000ms\"},\"listeners\":[{\"host\":\"" + host + "\",\"rules\":["
                + String.join(",", rules) + "]}],\"clusters\":[" + clusters + "]}";
    }
}
