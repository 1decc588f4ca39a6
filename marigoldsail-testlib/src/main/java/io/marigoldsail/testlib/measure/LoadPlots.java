package io.marigoldsail.testlib.measure;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Writes plots of latency and of goodput against load for each deployment. */
final class LoadPlots {
  private static final SvgPlot.Axis LOAD =
      new SvgPlot.Axis(
          "load, as a share of capacity", 0, 3, false, List.of(0.0, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0));
  private static final SvgPlot.Axis LATENCY =
      new SvgPlot.Axis(
          "99th percentile of what is answered, ms",
          10,
          10_000,
          true,
          List.of(10.0, 30.0, 100.0, 300.0, 1_000.0, 3_000.0, 10_000.0));
  private static final SvgPlot.Axis GOODPUT =
      new SvgPlot.Axis(
          "useful answers to what could be done",
          0,
          1.1,
          false,
          List.of(0.0, 0.2, 0.4, 0.6, 0.8, 1.0));

  private LoadPlots() {}

  /**
   * Runs the load curves and writes their plots into a directory, which is created if missing.
   *
   * @throws IOException if a file cannot be written
   */
  static void write(Path directory, long seed) throws IOException {
    Files.createDirectories(directory);
    for (Deployment deployment : Deployment.PRODUCTION) {
      String name = deployment.name().toLowerCase(Locale.ROOT);
      SvgPlot latency = new SvgPlot("Latency against load, " + name, LOAD, LATENCY);
      SvgPlot goodput = new SvgPlot("Goodput against load, " + name, LOAD, GOODPUT);
      for (PolicyKind kind : PolicyKind.values()) {
        for (int entries : deployment.entryCounts()) {
          List<LoadCurve.Point> points = new LoadCurve(deployment).points(entries, kind, seed);
          String line = kind.label() + ", " + entries;
          boolean isDashed = kind == PolicyKind.BASELINE;
          latency.add(line, isDashed, values(points, LoadCurve.Point::p99Millis));
          goodput.add(line, isDashed, values(points, LoadCurve.Point::goodputRatio));
        }
      }
      writeFile(directory.resolve("latency-" + name + ".svg"), latency);
      writeFile(directory.resolve("goodput-" + name + ".svg"), goodput);
    }
  }

  private static List<double[]> values(
      List<LoadCurve.Point> points, ToDoubleFunction<LoadCurve.Point> value) {
    return points.stream()
        .map(point -> new double[] {point.load() / 100.0, value.applyAsDouble(point)})
        .toList();
  }

  private static void writeFile(Path file, SvgPlot plot) throws IOException {
    Files.writeString(file, plot.toSvg(), StandardCharsets.UTF_8);
  }
}
