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
 * The metrics of one process, over the Prometheus client.
 *
 * <p>Names start with {@code marigoldsail_} and end in their unit. Label values come from small
 * closed sets (error kinds, services), never from what callers send. Safe for any thread; keep the
 * returned metrics in fields.
 */
public final class Metrics {
  /** The media type of {@link #text}. */
  public static final String MEDIA_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private static final String PREFIX = "marigoldsail_";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

  /** Creates metrics without any entries. */
  public Metrics() {}

  /** Returns the registry, for instrumentation that comes with the client. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /**
   * Registers a counter.
   *
   * @param name the name after the prefix, without {@code _total}
   */
  public Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(PREFIX + name).help(help).labelNames(labels).register(registry);
  }

  /** Registers a gauge that is set from outside. */
  public Gauge gauge(String name, String help, String... labels) {
    return Gauge.builder().name(PREFIX + name).help(help).labelNames(labels).register(registry);
  }

  /** Registers a gauge that is read when asked for; the supplier must be quick and thread safe. */
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

  /** Returns all metrics in Prometheus's text format. */
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
