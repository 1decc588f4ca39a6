package io.marigoldsail.testlib.measure;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.util.Locale;

/** Prints rows of measurements as CSV. Not thread-safe. */
public final class MeasureRows {
  /** The CSV header. */
  public static final String HEADER = "pattern,entries,policy,metric,value";

  private final PrintStream out;

  /** Creates a sink and prints the header to the given stream. */
  public MeasureRows(PrintStream out) {
    this.out = requireNonNull(out, "out");
    out.println(HEADER);
  }

  /**
   * Prints one value.
   *
   * @param pattern the name of the pattern
   * @param entries the number of entries
   * @param policy {@code marigoldsail} or {@code baseline}
   * @param metric the name of the metric, with its unit as suffix
   * @param value the value, printed with four decimals; NaN if there were no samples
   */
  public void add(String pattern, int entries, String policy, String metric, double value) {
    out.println(
        String.format(Locale.ROOT, "%s,%d,%s,%s,%.4f", pattern, entries, policy, metric, value));
  }
}
