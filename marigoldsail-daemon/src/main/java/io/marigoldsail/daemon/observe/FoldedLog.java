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
 * {@link #MOST_KINDS} kinds are told apart at a time, all further ones count as one. A process that
 * ends keeps the lines of the last span to itself.
 *
 * <p>Confined to the timer's thread. Rejects nulls.
 */
public final class FoldedLog {
  /** The most kinds that are told apart at a time. */
  static final int MOST_KINDS = 32;

  private static final String ALL_OTHERS = "";

  /** Runs what is due later on the thread that also tells the lines. */
  @FunctionalInterface
  public interface Timer {
    /** Runs the task once after the delay. */
    void schedule(Runnable task, long delayNanos);
  }

  private static final class Span {
    private int folded;
    private LogLine last;
  }

  private final Consumer<LogLine> out;
  private final Timer timer;
  private final long spanNanos;
  private final Map<String, Span> spans = new HashMap<>();

  /**
   * Creates a log without a line yet.
   *
   * @param out takes the lines that are written
   * @param timer ends spans
   * @param spanNanos how long lines of a kind are gathered
   */
  public FoldedLog(Consumer<LogLine> out, Timer timer, long spanNanos) {
    checkArgument(spanNanos > 0, "spanNanos is not positive: %s", spanNanos);
    this.out = requireNonNull(out, "out");
    this.timer = requireNonNull(timer, "timer");
    this.spanNanos = spanNanos;
  }

  /**
   * Tells a line.
   *
   * @param kind what makes lines repeats of each other; not empty
   */
  public void tell(String kind, LogLine line) {
    checkArgument(!kind.isEmpty(), "no kind");
    requireNonNull(line, "line");
    boolean known = spans.containsKey(kind) || spans.size() < MOST_KINDS;
    String told = known ? kind : ALL_OTHERS;
    Span span = spans.get(told);
    if (span == null) {
      out.accept(line);
      spans.put(told, new Span());
      timer.schedule(() -> end(told), spanNanos);
      return;
    }
    span.folded++;
    span.last = line;
  }

  private void end(String kind) {
    Span ended = spans.remove(kind);
    if (ended.folded == 0) {
      return;
    }
    out.accept(ended.folded == 1 ? ended.last : ended.last.with("folded", ended.folded));
    spans.put(kind, new Span());
    timer.schedule(() -> end(kind), spanNanos);
  }
}
