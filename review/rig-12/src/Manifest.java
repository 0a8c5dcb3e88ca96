import java.util.ArrayList;
import java.util.List;

/** Writes manifests of the operator. */
final class Manifest {

    static final String HOST = "shop.example";

    private final int version;
    private final List<String> rules = new ArrayList<>();
    private final List<String> services;

    Manifest(int version, String... services) {
        this.version = version;
        this.services = List.of(services);
    }

    Manifest route(String prefix, String kind, String service, int timeoutMillis) {
        rules.add("{\"name\":\"r-" + rules.size() + "\",\"kind\":\"" + kind
                + "\",\"targetLatency\":\"400ms\",\"priority\":1,\"match\":{\"prefix\":\"" + prefix
                + "\"},\"action\":{\"service\":\"" + service + "\",\"timeout\":\"" + timeoutMillis + "ms\",\"maxAttempts\":2}}");
        return this;
    }

    String text() {
        List<String> clusters = services.stream()
                .map(name -> "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":260,\"protocol\":\"h1\",\"tls\":false}")
                .toList();
        return "{\"version\":\"r" + version + "\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                + "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},\"listeners\":[{\"host\":\"" + HOST
                + "\",\"rules\":[" + String.join(",", rules) + "]}],\"clusters\":[" + String.join(",", clusters) + "]}";
    }
}
