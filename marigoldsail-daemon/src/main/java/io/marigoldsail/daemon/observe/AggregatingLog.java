package io.marigoldsail.daemon.observe;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Aggregates repeated log lines. The first line of a kind is written immediately. Of the lines that
 * follow within a time window only the last is written, at the end of the window, with {@code
 * folded=N} for the number of lines it represents, itself included.
 *
 * <p>While a kind repeats, one line is written per window; after a window without lines the next
 * line is written immediately again. At most {@link #MAX_KINDS} kinds are tracked at a time; all
 * others share one kind. Lines of a window that has not ended are lost when the process ends.
 *
 * <p>Confined to the timer's thread. Rejects nulls.
 */
public final class AggregatingLog {
  /** The maximum number of kinds tracked at a time. */
  static final int MAX_KINDS = 32;

  private static final String OVERFLOW_KIND = "";

  /** Schedules tasks on the thread that also logs the lines. */
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
   * Creates an aggregating log.
   *
   * @param out receives the lines to write
   * @param timer schedules the end of each window
   * @param windowNanos the length of a window, in nanoseconds
   */
  public AggregatingLog(Consumer<LogLine> out, Timer timer, long windowNanos) {
    checkArgument(windowNanos > 0, "windowNanos is not positive: %s", windowNanos);
    this.out = requireNonNull(out, "out");
    this.timer = requireNonNull(timer, "timer");
    this.windowNanos = windowNanos;
  }

  /**
   * Logs a line, or adds it to the current window of its kind.
   *
   * @param kind the aggregation key: lines of the same kind are aggregated; not empty
   */
  public void log(String kind, LogLine line) {
    checkArgument(!kind.isEmpty(), "kind is empty");
    requireNonNull(line, "line");
    boolean known = windows.containsKey(kind) || windows.size() < MAX_KINDS;
    String key = known ? kind : OVERFLOW_KIND;
    Window window = windows.get(key);
    if (window == null) {
      out.accept(line);
      windows.put(key, new Window());
      timer.schedule(() -> endWindow(key), windowNanos);
      return;
    }
    window.aggregatedCount++;
    window.last = line;
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
