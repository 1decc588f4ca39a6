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
 * Time spent by workflows, by queue, computed from the logs of entries.
 *
 * <p>Each duration is a difference on the clock of one process, so clock skew does not distort it:
 * from acceptance to the start of a run as logged by its owner, and from the start of a run to its
 * end as seen by the same owner. Runs that ended at another owner are counted but not timed.
 *
 * <p>Stateless.
 */
public final class LogProfile {
  /** The maximum recorded duration, in milliseconds; longer ones are clamped. */
  private static final long MAX_MILLIS = Duration.ofHours(24).toMillis();

  private static final int SIGNIFICANT_DIGITS = 3;

  /**
   * A summary of a distribution of durations.
   *
   * @param count the number of durations
   * @param medianMillis the median, in milliseconds
   * @param p95Millis the 95th percentile, in milliseconds
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
   * The profile of one queue.
   *
   * @param name the name of the queue
   * @param workflows the number of workflows with a started run
   * @param tasks the number of tasks with a started run
   * @param firstStart the time from acceptance of a workflow to its first start of a run
   * @param runs the time from the start of a run to its end, by outcome
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

  /** Accumulates the data of one queue. */
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
    // With the skewed clocks of two entries, a start may precede the acceptance.
    long value = Math.max(0, Long.parseLong(millis));
    histogram.recordValue(Math.min(value, MAX_MILLIS));
  }

  /** Returns a profile of each queue with a started run, sorted by name. */
  public static ImmutableList<QueueProfile> of(Collection<LogEntry> entries) {
    Map<String, QueueStatistics> queues = new TreeMap<>();
    Map<String, QueueStatistics> queueOfRun = new HashMap<>();
    List<LogEntry> ends = new ArrayList<>();
    for (LogEntry entry : entries) {
      if (entry.event().equals("run-ordered")) {
        String queue = entry.fields().getOrDefault("queue", "");
        QueueStatistics queueStatistics =
            queues.computeIfAbsent(queue, unused -> new QueueStatistics());
        queueOfRun.put(entry.run(), queueStatistics);
        recordStart(queueStatistics, entry);
      } else if (entry.event().equals("run-ended")) {
        ends.add(entry);
      }
    }
    for (LogEntry end : ends) {
      QueueStatistics queueStatistics = queueOfRun.get(end.run());
      if (queueStatistics != null) {
        recordEnd(queueStatistics, end);
      }
    }
    ImmutableList.Builder<QueueProfile> profiles = ImmutableList.builder();
    queues.forEach((name, queueStatistics) -> profiles.add(queueStatistics.profile(name)));
    return profiles.build();
  }

  private static void recordStart(QueueStatistics queueStatistics, LogEntry start) {
    String run = start.run();
    queueStatistics.tasks.add(run.substring(0, Math.max(0, run.indexOf('#'))));
    boolean first = queueStatistics.workflows.add(run.substring(0, Math.max(0, run.indexOf('.'))));
    String waited = start.fields().get("waited_ms");
    if (first && waited != null) {
      record(queueStatistics.firstStart, waited);
    }
  }

  private static void recordEnd(QueueStatistics queueStatistics, LogEntry end) {
    String millis = end.fields().get("ms");
    String outcome = end.fields().getOrDefault("outcome", "");
    if (millis != null) {
      record(queueStatistics.runs.computeIfAbsent(outcome, unused -> histogram()), millis);
    }
  }
}
