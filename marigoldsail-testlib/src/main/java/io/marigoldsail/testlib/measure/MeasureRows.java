package io.marigoldsail.testlib.measure;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.util.Locale;

/** Takes the rows of measurements and prints each as a line of CSV. Confined to one thread. */
public final class MeasureRows {
  /** The line that names the columns. */
  public static final String HEADER = "pattern,entries,policy,metric,value";

  private final PrintStream out;

  /** Creates a sink that prints to the given stream, the header first. */
  public MeasureRows(PrintStream out) {
    this.out = requireNonNull(out, "out");
    out.println(HEADER);
  }

  /**
   * Prints one value.
   *
   * @param pattern the pattern's name
   * @param entries how many entries shared the load
   * @param policy {@code marigoldsail} or {@code baseline}
   * @param metric the metric's name, with its unit as suffix
   * @param value the value, printed with four digits after the point; NaN where nothing was seen
   */
  public void add(String pattern, int entries, String policy, String metric, double value) {
    out.println(
        String.format(Locale.ROOT, "%s,%d,%s,%s,%.4f", pattern, entries, policy, metric, value));
  }
}
