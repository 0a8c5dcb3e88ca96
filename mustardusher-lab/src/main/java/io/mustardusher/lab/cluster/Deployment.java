package io.mustardusher.lab.cluster;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.mustardusher.schema.Schema;

/**
 * Sizes of a deployment.
 *
 * @param name         its name
 * @param region       its region
 * @param domains      its failure domains
 * @param oneWayMicros network time between failure domains, in microseconds
 * @param services     its services
 */
public record Deployment(
        String name, String region, List<String> domains, long oneWayMicros, List<ServiceSize> services) {

    /**
     * Reads one of the deployments that come with the laboratory.
     *
     * @param name its name
     * @return the deployment
     */
    public static Deployment named(String name) {
        try (InputStream stream = Deployment.class.getResourceAsStream("/deployments/" + name + ".json")) {
            if (stream == null) {
                throw new IllegalArgumentException("no deployment " + name);
            }
            return Schema.mapper().readValue(stream, Deployment.class);
        } catch (IOException e) {
            throw new IllegalArgumentException("malformed deployment " + name, e);
        }
    }

    /**
     * Lists the upstreams; they are dealt to the failure domains in turn.
     *
     * @return the upstreams
     */
    public List<Upstream> upstreams() {
        List<Upstream> upstreams = new ArrayList<>();
        for (ServiceSize service : services) {
            for (int i = 1; i <= service.upstreams; i++) {
                String domain = domains.get(upstreams.size() % domains.size());
                upstreams.add(new Upstream(service.name() + "-" + i, domain, service));
            }
        }
        return upstreams;
    }

    /**
     * Finds a service.
     *
     * @param service its name
     * @return its size
     */
    public ServiceSize service(String service) {
        return services.stream()
                .filter(size -> size.name().equals(service))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no service " + service));
    }

    /**
     * Size of a service.
     *
     * @param upstreams     number of backend servers
     * @param slots         slots of each
     * @param serviceMillis mean service time, in milliseconds
     * @param entry         entry of the catalogue
     */
    public record ServiceSize(int upstreams, int slots, double serviceMillis, JsonNode entry) {

        /**
         * Returns the name.
         *
         * @return the name
         */
        public String name() {
            return entry.path("service").asText();
        }

        /**
         * Returns the entry with one value changed.
         *
         * @param path  path of the value, with a dot between names
         * @param value the value, JSON or plain text
         * @return the entry
         */
        public JsonNode entryWith(String path, String value) {
            com.fasterxml.jackson.databind.node.ObjectNode copy = entry.deepCopy();
            int dot = path.indexOf('.');
            if (dot < 0) {
                copy.set(path, parse(value));
            } else {
                copy.withObjectProperty(path.substring(0, dot)).set(path.substring(dot + 1), parse(value));
            }
            return copy;
        }

        /**
         * Parses a value.
         *
         * @param value JSON or plain text
         * @return the value
         */
        private static JsonNode parse(String value) {
            try {
                return Schema.mapper().readTree(value);
            } catch (JsonProcessingException e) {
                return Schema.mapper().getNodeFactory().textNode(value);
            }
        }
    }

    /**
     * One backend server with its node.
     *
     * @param name    its name
     * @param domain  its failure domain
     * @param service size of its service
     */
    public record Upstream(String name, String domain, ServiceSize service) {}
}
