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
  private static final long MAX_MILLIS = Duration.ofHours(24).toMillis();

  private static final int SIGNIFICANT_DIGITS = 3;

  /**
   * The distribution of some times.
   *
   * @param count how many there are
   * @param medianMillis half are at most this long
   * @param p95Millis all but a twentieth are at most this long
   */
  public record LatencySummary(long count, long medianMillis, long p95Millis) {
    private static LatencySummary of(Histogram histogram) {
      return new LatencySummary(
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
   * @param firstStart from accepting a workflow to the first order for it
   * @param runs from an order to its end, by how it ended
   */
  public record QueueProfile(
      String name,
      int workflows,
      int tasks,
      LatencySummary firstStart,
      ImmutableMap<String, LatencySummary> runs) {
    /** Checks the components. */
    public QueueProfile {
      requireNonNull(name, "name");
      requireNonNull(firstStart, "firstOrder");
      requireNonNull(runs, "runs");
    }
  }

  /** What is gathered of one queue. */
  private static final class QueueStatistics {
    private final Set<String> workflows = new HashSet<>();
    private final Set<String> tasks = new HashSet<>();
    private final Histogram firstStart = histogram();
    private final Map<String, Histogram> runs = new TreeMap<>();

    QueueProfile profile(String name) {
      ImmutableMap.Builder<String, LatencySummary> times = ImmutableMap.builder();
      runs.forEach((outcome, histogram) -> times.put(outcome, LatencySummary.of(histogram)));
      return new QueueProfile(
          name,
          workflows.size(),
          tasks.size(),
          LatencySummary.of(firstStart),
          times.buildOrThrow());
    }
  }

  private LogProfile() {}

  private static Histogram histogram() {
    return new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
  }

  private static void record(Histogram histogram, String millis) {
    // Clocks of two entries may put an order before its accepting.
    long value = Math.max(0, Long.parseLong(millis));
    histogram.recordValue(Math.min(value, MAX_MILLIS));
  }

  /** Returns a profile of each queue that had an order, by name. */
  public static ImmutableList<QueueProfile> of(Collection<LogEntry> entries) {
    Map<String, QueueStatistics> queues = new TreeMap<>();
    Map<String, QueueStatistics> queueOfRun = new HashMap<>();
    List<LogEntry> ends = new ArrayList<>();
    for (LogEntry entry : entries) {
      if (entry.event().equals("run-ordered")) {
        String queue = entry.fields().getOrDefault("queue", "");
        QueueStatistics gathered = queues.computeIfAbsent(queue, unused -> new QueueStatistics());
        queueOfRun.put(entry.run(), gathered);
        recordStart(gathered, entry);
      } else if (entry.event().equals("run-ended")) {
        ends.add(entry);
      }
    }
    for (LogEntry end : ends) {
      QueueStatistics gathered = queueOfRun.get(end.run());
      if (gathered != null) {
        recordEnd(gathered, end);
      }
    }
    ImmutableList.Builder<QueueProfile> profiles = ImmutableList.builder();
    queues.forEach((name, gathered) -> profiles.add(gathered.profile(name)));
    return profiles.build();
  }

  private static void recordStart(QueueStatistics gathered, LogEntry order) {
    String run = order.run();
    gathered.tasks.add(run.substring(0, Math.max(0, run.indexOf('#'))));
    boolean first = gathered.workflows.add(run.substring(0, Math.max(0, run.indexOf('.'))));
    String waited = order.fields().get("waited_ms");
    if (first && waited != null) {
      record(gathered.firstStart, waited);
    }
  }

  private static void recordEnd(QueueStatistics gathered, LogEntry end) {
    String millis = end.fields().get("ms");
    String outcome = end.fields().getOrDefault("outcome", "");
    if (millis != null) {
      record(gathered.runs.computeIfAbsent(outcome, unused -> histogram()), millis);
    }
  }
}
