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
  private final long tookMillis;
  private final LoadRecord loadRecord;

  /**
   * Creates a report.
   *
   * @param planned the number of planned requests
   * @param tookMillis the duration of the run up to the last response
   */
  LoadReport(long planned, long tookMillis, LoadRecord loadRecord) {
    this.planned = planned;
    this.tookMillis = Math.max(1, tookMillis);
    this.loadRecord = loadRecord;
  }

  List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            Locale.ROOT,
            "%d requests in %.1f s: %d served, %.1f served a second",
            planned,
            tookMillis / MILLIS_PER_SECOND,
            loadRecord.served(),
            loadRecord.served() * MILLIS_PER_SECOND / tookMillis));
    for (Map.Entry<String, Long> kind : loadRecord.byKind().entrySet()) {
      lines.add(
          String.format(
              Locale.ROOT,
              "  %-28s %9d  %6.2f%%",
              kind.getKey(),
              kind.getValue(),
              kind.getValue() * 100.0 / Math.max(1, planned)));
    }
    lines.add("latency in ms           p50       p90       p99     p99.9       max");
    lines.add(row("served, from plan", loadRecord.fromPlan()));
    lines.add(row("served, from sending", loadRecord.fromSend()));
    lines.add(row("not served", loadRecord.refusals()));
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
    node.put("tookMillis", tookMillis);
    node.put("served", loadRecord.served());
    node.put("refused", loadRecord.refused());
    node.put("failed", planned - loadRecord.served() - loadRecord.refused());
    node.put("servedPerSecond", loadRecord.served() * MILLIS_PER_SECOND / tookMillis);
    ObjectNode kinds = node.putObject("answers");
    loadRecord.byKind().forEach(kinds::put);
    ObjectNode latency = node.putObject("latencyMillis");
    percentiles(latency.putObject("servedFromPlan"), loadRecord.fromPlan());
    percentiles(latency.putObject("servedFromSending"), loadRecord.fromSend());
    percentiles(latency.putObject("notServed"), loadRecord.refusals());
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
