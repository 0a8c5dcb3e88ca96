package io.mustardusher.admin;

import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.mustardusher.call.Lazy;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.dropwizard.samplebuilder.CustomMappingSampleBuilder;
import io.prometheus.client.dropwizard.samplebuilder.MapperConfig;
import io.prometheus.client.exporter.common.TextFormat;

/** Metrics as text that Prometheus reads. Nothing of it is prepared before the first reader comes. */
public final class MetricsResource implements HttpService {

    /** Counters of answers by route and result, which become labels. */
    private static final MapperConfig ANSWERS = new MapperConfig(
            "entry.answers.*.*", "entry_answers_total", new TreeMap<>(Map.of("route", "${0}", "result", "${1}")));

    private final Lazy<CollectorRegistry> collectors;

    /**
     * Creates a resource.
     *
     * @param metrics metrics of the node
     */
    public MetricsResource(MetricRegistry metrics) {
        collectors = new Lazy<>(() -> {
            CollectorRegistry registry = new CollectorRegistry();
            new DropwizardExports(metrics, new CustomMappingSampleBuilder(List.of(ANSWERS))).register(registry);
            return registry;
        });
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        return HttpResponse.of(HttpStatus.OK, MediaType.parse(TextFormat.CONTENT_TYPE_004), text());
    }

    /**
     * Writes the metrics.
     *
     * @return the text
     */
    String text() {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, collectors.get().metricFamilySamples());
        } catch (IOException e) {
            throw new IllegalStateException("writing into memory failed", e);
        }
        return text.toString();
    }
}
