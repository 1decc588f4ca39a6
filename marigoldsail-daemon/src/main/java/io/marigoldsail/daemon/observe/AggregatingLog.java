package io.marigoldsail.daemon.observe;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Writes lines that repeat as few: the first of a kind at once, and of those that follow within a
 * span only the last, with {@code folded=N} for how many lines it stands for, itself among them.
 *
 * <p>A kind that goes on has one line a span; one that was quiet for a span begins anew. At most
 * {@link #MAX_KINDS} kinds are told apart at a time, all further ones count as one. A process that
 * ends keeps the lines of the last span to itself.
 *
 * <p>Confined to the timer's thread. Rejects nulls.
 */
public final class AggregatingLog {
  /** The most kinds that are told apart at a time. */
  static final int MAX_KINDS = 32;

  private static final String OVERFLOW_KIND = "";

  /** Runs what is due later on the thread that also tells the lines. */
  @FunctionalInterface
  public interface Timer {
    /** Runs the task once after the delay. */
    void schedule(Runnable task, long delayNanos);
  }

  private static final class Window {
    private int aggregatedCount;
    private LogLine last;
  }

  private final Consumer<LogLine> out;
  private final Timer timer;
  private final long windowNanos;
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Creates a log without a line yet.
   *
   * @param out takes the lines that are written
   * @param timer ends spans
   * @param spanNanos how long lines of a kind are gathered
   */
  public AggregatingLog(Consumer<LogLine> out, Timer timer, long spanNanos) {
    checkArgument(spanNanos > 0, "spanNanos is not positive: %s", spanNanos);
    this.out = requireNonNull(out, "out");
    this.timer = requireNonNull(timer, "timer");
    this.windowNanos = spanNanos;
  }

  /**
   * Tells a line.
   *
   * @param kind what makes lines repeats of each other; not empty
   */
  public void log(String kind, LogLine line) {
    checkArgument(!kind.isEmpty(), "no kind");
    requireNonNull(line, "line");
    boolean known = windows.containsKey(kind) || windows.size() < MAX_KINDS;
    String told = known ? kind : OVERFLOW_KIND;
    Window span = windows.get(told);
    if (span == null) {
      out.accept(line);
      windows.put(told, new Window());
      timer.schedule(() -> endWindow(told), windowNanos);
      return;
    }
    span.aggregatedCount++;
    span.last = line;
  }

  private void endWindow(String kind) {
    Window ended = windows.remove(kind);
    if (ended.aggregatedCount == 0) {
      return;
    }
    out.accept(
        ended.aggregatedCount == 1 ? ended.last : ended.last.with("folded", ended.aggregatedCount));
    windows.put(kind, new Window());
    timer.schedule(() -> endWindow(kind), windowNanos);
  }
}
