package io.mustardusher.admin;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class MetricsResourceTest {

    private final MetricRegistry metrics = new MetricRegistry();
    private final MetricsResource resource = new MetricsResource(metrics);

    @Test
    void labelsAnswersByRouteAndResult() {
        metrics.counter("entry.answers.r-a.ok").inc(3);
        metrics.counter("entry.answers.r-a.overloaded").inc();

        assertThat(resource.text()).contains("entry_answers_total{result=\"ok\",route=\"r-a\",} 3.0");
        assertThat(resource.text()).contains("entry_answers_total{result=\"overloaded\",route=\"r-a\",} 1.0");
    }

    @Test
    void exportsGaugesWithoutLabels() {
        metrics.gauge("gate.busy", () -> () -> 7);

        assertThat(resource.text()).contains("gate_busy 7.0");
    }
}
