package io.mustardusher.lab.cluster;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.mustardusher.schema.Schema;

/**
 * Describes a deployment to run: its failure domains and, for each service, the number and capacity of backend servers.
 *
 * @param name         name of the deployment
 * @param region       region of all nodes
 * @param domains      names of the failure domains
 * @param oneWayMicros one-way network delay between failure domains, in microseconds
 * @param services     services of the deployment
 */
public record Deployment(
        String name, String region, List<String> domains, long oneWayMicros, List<ServiceSize> services) {

    /**
     * Reads a deployment from the resource {@code /deployments/NAME.json}.
     *
     * @param name name of the deployment
     * @return deployment of that name
     */
    public static Deployment named(String name) {
        try (InputStream stream = Deployment.class.getResourceAsStream("/deployments/" + name + ".json")) {
            if (stream == null) {
                throw new IllegalArgumentException("no deployment named " + name);
            }
            return Schema.mapper().readValue(stream, Deployment.class);
        } catch (IOException e) {
            throw new IllegalArgumentException("malformed deployment " + name, e);
        }
    }

    /**
     * Returns the upstreams of all services, assigned to the failure domains in round-robin order.
     *
     * @return upstreams, grouped by service
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
     * Returns the size of a service.
     *
     * @param service name of the service
     * @return size of that service
     */
    public ServiceSize service(String service) {
        return services.stream()
                .filter(size -> size.name().equals(service))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no service named " + service));
    }

    /**
     * Number and capacity of a service's backend servers.
     *
     * @param upstreams     number of backend servers
     * @param slots         slots of each backend server
     * @param serviceMillis mean service time, in milliseconds
     * @param entry         entry of the service in the catalogue
     */
    public record ServiceSize(int upstreams, int slots, double serviceMillis, JsonNode entry) {

        /**
         * Returns the name of the service, read from its entry.
         *
         * @return name of the service
         */
        public String name() {
            return entry.path("service").asText();
        }

        /**
         * Returns a copy of the entry with one property changed.
         *
         * @param path  name of the property, or the names of an object and its property with a dot between them
         * @param value new value; text that isn't valid JSON is taken as a string
         * @return the changed copy
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
         * @param value JSON, or text to take as a string
         * @return the parsed value
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
     * A VM of the deployment, with one backend server and its node.
     *
     * @param name    name of both the backend server and the node
     * @param domain  failure domain of the VM
     * @param service service that the backend server belongs to
     */
    public record Upstream(String name, String domain, ServiceSize service) {}
}
