package io.marigoldsail.cli.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The results of a load run as text or JSON. Immutable. */
final class LoadReport {
  private static final double MICROS_PER_MILLI = 1000;
  private static final double MILLIS_PER_SECOND = 1000;
  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

  private final long planned;
  private final long elapsedMillis;
  private final LoadStatistics statistics;

  /**
   * Creates a report.
   *
   * @param planned the number of planned requests
   * @param elapsedMillis the duration of the run up to the last response
   */
  LoadReport(long planned, long elapsedMillis, LoadStatistics statistics) {
    this.planned = planned;
    this.elapsedMillis = Math.max(1, elapsedMillis);
    this.statistics = statistics;
  }

  List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            Locale.ROOT,
            "%d requests in %.1f s: %d served, %.1f served a second",
            planned,
            elapsedMillis / MILLIS_PER_SECOND,
            statistics.served(),
            statistics.served() * MILLIS_PER_SECOND / elapsedMillis));
    for (Map.Entry<String, Long> kind : statistics.byKind().entrySet()) {
      lines.add(
          String.format(
              Locale.ROOT,
              "  %-28s %9d  %6.2f%%",
              kind.getKey(),
              kind.getValue(),
              kind.getValue() * 100.0 / Math.max(1, planned)));
    }
    lines.add("latency in ms           p50       p90       p99     p99.9       max");
    lines.add(row("served, from plan", statistics.latencyFromPlan()));
    lines.add(row("served, from sending", statistics.latencyFromSend()));
    lines.add(row("not served", statistics.unservedLatency()));
    return lines;
  }

  private static String row(String name, Histogram histogram) {
    StringBuilder row = new StringBuilder(String.format("  %-20s", name));
    for (double percentile : PERCENTILES) {
      row.append(String.format(Locale.ROOT, "%9.2f ", millis(histogram, percentile)));
    }
    return row.toString().stripTrailing();
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  ObjectNode json() {
    ObjectNode node = Json.object();
    node.put("planned", planned);
    node.put("tookMillis", elapsedMillis);
    node.put("served", statistics.served());
    node.put("refused", statistics.refused());
    node.put("failed", planned - statistics.served() - statistics.refused());
    node.put("servedPerSecond", statistics.served() * MILLIS_PER_SECOND / elapsedMillis);
    ObjectNode kinds = node.putObject("answers");
    statistics.byKind().forEach(kinds::put);
    ObjectNode latency = node.putObject("latencyMillis");
    percentiles(latency.putObject("servedFromPlan"), statistics.latencyFromPlan());
    percentiles(latency.putObject("servedFromSending"), statistics.latencyFromSend());
    percentiles(latency.putObject("notServed"), statistics.unservedLatency());
    return node;
  }

  private static void percentiles(ObjectNode node, Histogram histogram) {
    node.put("count", histogram.getTotalCount());
    node.put("p50", millis(histogram, 50));
    node.put("p90", millis(histogram, 90));
    node.put("p99", millis(histogram, 99));
    node.put("p999", millis(histogram, 99.9));
    node.put("max", millis(histogram, 100));
  }
}
