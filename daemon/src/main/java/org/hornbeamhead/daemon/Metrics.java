package org.hornbeamhead.daemon;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.Supplier;

/** A process's metrics, shown as Prometheus text. */
public final class Metrics {
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /**
     * Counts one event.
     *
     * @param name the metric's name
     * @param tags keys and values in turn
     */
    public void count(String name, String... tags) {
        count(name, 1, tags);
    }

    /**
     * Counts a number of events.
     *
     * @param name the metric's name
     * @param amount how many
     * @param tags keys and values in turn
     */
    public void count(String name, double amount, String... tags) {
        Counter.builder(name).tags(tags).register(registry).increment(amount);
    }

    /**
     * Notes a duration.
     *
     * @param name the metric's name
     * @param duration the duration
     * @param tags keys and values in turn
     */
    public void time(String name, Duration duration, String... tags) {
        Timer.builder(name)
                .tags(tags)
                .publishPercentiles(QUANTILES)
                .register(registry)
                .record(duration);
    }

    /**
     * Shows a value that is read whenever somebody looks.
     *
     * @param name the metric's name
     * @param value reads the value
     * @param tags keys and values in turn
     */
    public void gauge(String name, Supplier<Number> value, String... tags) {
        Gauge.builder(name, value).tags(tags).strongReference(true).register(registry);
    }

    /**
     * Answers a scrape.
     *
     * @return the metrics
     */
    public Promise<HttpResponse> scrape() {
        return HttpAnswers.text(200, "text/plain; version=0.0.4", registry.scrape());
    }
}
