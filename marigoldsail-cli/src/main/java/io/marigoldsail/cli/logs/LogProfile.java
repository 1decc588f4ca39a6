package io.marigoldsail.cli.logs;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Where the time of workflows goes, by queue, from the logs of entries.
 *
 * <p>All times are differences on one process's clock, so that clocks which differ do no harm: from
 * accepting to an order as its owner tells it, from an order to its end as the same owner saw both.
 * Runs that ended at another owner are counted and not timed.
 *
 * <p>Stateless.
 */
public final class LogProfile {
  /** Longer times are counted as this long, in milliseconds. */
  private static final long LONGEST_MILLIS = Duration.ofHours(24).toMillis();

  private static final int DIGITS = 3;

  /**
   * The distribution of some times.
   *
   * @param count how many there are
   * @param medianMillis half are at most this long
   * @param p95Millis all but a twentieth are at most this long
   */
  public record Times(long count, long medianMillis, long p95Millis) {
    private static Times of(Histogram histogram) {
      return new Times(
          histogram.getTotalCount(),
          histogram.getValueAtPercentile(50),
          histogram.getValueAtPercentile(95));
    }
  }

  /**
   * One queue.
   *
   * @param name of the queue
   * @param workflows how many had a task ordered
   * @param tasks how many tasks had a run ordered
   * @param firstOrder from accepting a workflow to the first order for it
   * @param runs from an order to its end, by how it ended
   */
  public record QueueProfile(
      String name, int workflows, int tasks, Times firstOrder, ImmutableMap<String, Times> runs) {
    /** Checks the components. */
    public QueueProfile {
      requireNonNull(name, "name");
      requireNonNull(firstOrder, "firstOrder");
      requireNonNull(runs, "runs");
    }
  }

  /** What is gathered of one queue. */
  private static final class Gathered {
    private final Set<String> workflows = new HashSet<>();
    private final Set<String> tasks = new HashSet<>();
    private final Histogram firstOrder = histogram();
    private final Map<String, Histogram> runs = new TreeMap<>();

    QueueProfile profile(String name) {
      ImmutableMap.Builder<String, Times> times = ImmutableMap.builder();
      runs.forEach((outcome, histogram) -> times.put(outcome, Times.of(histogram)));
      return new QueueProfile(
          name, workflows.size(), tasks.size(), Times.of(firstOrder), times.buildOrThrow());
    }
  }

  private LogProfile() {}

  private static Histogram histogram() {
    return new Histogram(LONGEST_MILLIS, DIGITS);
  }

  private static void record(Histogram histogram, String millis) {
    // Clocks of two entries may put an order before its accepting.
    long value = Math.max(0, Long.parseLong(millis));
    histogram.recordValue(Math.min(value, LONGEST_MILLIS));
  }

  /** Returns a profile of each queue that had an order, by name. */
  public static ImmutableList<QueueProfile> of(Collection<LogEntry> entries) {
    Map<String, Gathered> queues = new TreeMap<>();
    Map<String, Gathered> queueOfRun = new HashMap<>();
    List<LogEntry> ends = new ArrayList<>();
    for (LogEntry entry : entries) {
      if (entry.event().equals("run-ordered")) {
        String queue = entry.fields().getOrDefault("queue", "");
        Gathered gathered = queues.computeIfAbsent(queue, unused -> new Gathered());
        queueOfRun.put(entry.run(), gathered);
        takeOrder(gathered, entry);
      } else if (entry.event().equals("run-ended")) {
        ends.add(entry);
      }
    }
    for (LogEntry end : ends) {
      Gathered gathered = queueOfRun.get(end.run());
      if (gathered != null) {
        takeEnd(gathered, end);
      }
    }
    ImmutableList.Builder<QueueProfile> profiles = ImmutableList.builder();
    queues.forEach((name, gathered) -> profiles.add(gathered.profile(name)));
    return profiles.build();
  }

  private static void takeOrder(Gathered gathered, LogEntry order) {
    String run = order.run();
    gathered.tasks.add(run.substring(0, Math.max(0, run.indexOf('#'))));
    boolean first = gathered.workflows.add(run.substring(0, Math.max(0, run.indexOf('.'))));
    String waited = order.fields().get("waited_ms");
    if (first && waited != null) {
      record(gathered.firstOrder, waited);
    }
  }

  private static void takeEnd(Gathered gathered, LogEntry end) {
    String millis = end.fields().get("ms");
    String outcome = end.fields().getOrDefault("outcome", "");
    if (millis != null) {
      record(gathered.runs.computeIfAbsent(outcome, unused -> histogram()), millis);
    }
  }
}
