package io.marigoldsail.testlib.measure;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * An SVG line plot with linear or logarithmic axes.
 *
 * <p>NaN values interrupt a line; values outside an axis are drawn at its bound. Not thread-safe.
 */
public final class SvgPlot {
  private static final int WIDTH = 720;
  private static final int HEIGHT = 420;
  private static final int LEFT = 70;
  private static final int RIGHT = 180;
  private static final int TOP = 40;
  private static final int BOTTOM = 50;
  private static final String[] COLOURS = {
    "#1b6ca8", "#1b9e77", "#7570b3", "#d95f02", "#e7298a", "#a6761d"
  };

  private final String title;
  private final Axis horizontal;
  private final Axis vertical;
  private final List<Line> lines = new ArrayList<>();

  /** An axis with its title, bounds and labelled ticks. Immutable. */
  public record Axis(
      String title, double from, double to, boolean isLogarithmic, List<Double> ticks) {
    /** Checks the components. */
    public Axis {
      checkArgument(from < to, "the axis from %s to %s is empty", from, to);
      checkArgument(!isLogarithmic || from > 0, "a logarithmic axis cannot begin at %s", from);
    }

    private double position(double value) {
      double bounded = Math.max(from, Math.min(to, value));
      if (isLogarithmic) {
        return Math.log(bounded / from) / Math.log(to / from);
      }
      return (bounded - from) / (to - from);
    }
  }

  private record Line(String name, boolean isDashed, List<double[]> points) {}

  /** Creates a plot without lines. */
  public SvgPlot(String title, Axis horizontal, Axis vertical) {
    this.title = title;
    this.horizontal = horizontal;
    this.vertical = vertical;
  }

  /** Adds a line through points, each given as its horizontal and vertical value. */
  public void add(String name, boolean isDashed, List<double[]> points) {
    lines.add(new Line(name, isDashed, List.copyOf(points)));
  }

  /** Returns the plot as an SVG document. */
  public String toSvg() {
    StringBuilder svg = new StringBuilder();
    append(
        svg,
        "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 %d %d' font-family='sans-serif'"
            + " font-size='12'>",
        WIDTH,
        HEIGHT);
    append(svg, "<rect width='%d' height='%d' fill='white'/>", WIDTH, HEIGHT);
    append(svg, "<text x='%d' y='22' font-size='15'>%s</text>", LEFT, title);
    appendAxes(svg);
    for (int i = 0; i < lines.size(); i++) {
      appendLine(svg, i);
    }
    return svg.append("</svg>\n").toString();
  }

  private void appendAxes(StringBuilder svg) {
    for (double tick : horizontal.ticks()) {
      double x = x(tick);
      append(svg, "<path d='M%.1f %dV%d' stroke='#ddd'/>", x, TOP, HEIGHT - BOTTOM);
      append(svg, "<text x='%.1f' y='%d' text-anchor='middle'>%.4s</text>", x, HEIGHT - 32, tick);
    }
    for (double tick : vertical.ticks()) {
      double y = y(tick);
      append(svg, "<path d='M%d %.1fH%d' stroke='#ddd'/>", LEFT, y, WIDTH - RIGHT);
      append(svg, "<text x='%d' y='%.1f' text-anchor='end'>%s</text>", LEFT - 6, y + 4, tick);
    }
    append(svg, "<text x='%d' y='%d'>%s</text>", LEFT, HEIGHT - 10, horizontal.title());
    append(
        svg,
        "<text transform='translate(16 %d) rotate(-90)'>%s</text>",
        HEIGHT - BOTTOM,
        vertical.title());
  }

  private void appendLine(StringBuilder svg, int number) {
    Line line = lines.get(number);
    String colour = COLOURS[number % COLOURS.length];
    String dash = line.isDashed() ? " stroke-dasharray='6 4'" : "";
    StringBuilder path = new StringBuilder();
    boolean isLineStarted = false;
    for (double[] point : line.points()) {
      if (Double.isNaN(point[1])) {
        isLineStarted = false;
        continue;
      }
      append(path, "%s%.1f %.1f", isLineStarted ? "L" : "M", x(point[0]), y(point[1]));
      isLineStarted = true;
    }
    append(svg, "<path d='%s' fill='none' stroke='%s' stroke-width='2'%s/>", path, colour, dash);
    int y = TOP + 12 + 18 * number;
    int x = WIDTH - RIGHT + 12;
    append(svg, "<path d='M%d %dh20' stroke='%s' stroke-width='2'%s/>", x, y, colour, dash);
    append(svg, "<text x='%d' y='%d'>%s</text>", x + 26, y + 4, line.name());
  }

  private double x(double value) {
    return LEFT + horizontal.position(value) * (WIDTH - LEFT - RIGHT);
  }

  private double y(double value) {
    return HEIGHT - BOTTOM - vertical.position(value) * (HEIGHT - TOP - BOTTOM);
  }

  private static void append(StringBuilder out, String format, Object... arguments) {
    out.append(String.format(Locale.ROOT, format, arguments)).append('\n');
  }
}
