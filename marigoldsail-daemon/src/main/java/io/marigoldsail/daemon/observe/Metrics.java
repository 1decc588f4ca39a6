package io.marigoldsail.daemon.observe;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

/**
 * The metrics of one process, based on the Prometheus client.
 *
 * <p>Names start with {@code marigoldsail_} and end in their unit. Label values must come from
 * small fixed sets (error kinds, services), never from data sent by callers, to bound the number of
 * time series. Thread-safe. Keep the returned metrics in fields.
 */
public final class Metrics {
  /** The media type of {@link #text}. */
  public static final String MEDIA_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private static final String PREFIX = "marigoldsail_";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

  /** Creates an empty set of metrics. */
  public Metrics() {}

  /** Returns the registry, to register the instrumentation that the client library provides. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /**
   * Registers a counter.
   *
   * @param name the name without the prefix and without {@code _total}
   */
  public Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(PREFIX + name).help(help).labelNames(labels).register(registry);
  }

  /** Registers a gauge that is set by its owner. */
  public Gauge gauge(String name, String help, String... labels) {
    return Gauge.builder().name(PREFIX + name).help(help).labelNames(labels).register(registry);
  }

  /** Registers a gauge that is read on each scrape. The supplier must be fast and thread-safe. */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Registers a histogram of seconds with classic buckets.
   *
   * @param upperBounds the buckets' upper bounds in seconds
   */
  public Histogram histogram(String name, String help, double[] upperBounds, String... labels) {
    return Histogram.builder()
        .name(PREFIX + name)
        .help(help)
        .labelNames(labels)
        .classicOnly()
        .classicUpperBounds(upperBounds)
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public byte[] text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      writer.write(out, registry.scrape(), EscapingScheme.UNDERSCORE_ESCAPING);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
