package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which lasting tasks are worth a word because nobody has seen them at work for a while,
 * and which are back.
 *
 * <p>Guards against tasks that run nowhere while their owner takes them to be at work: it goes by
 * what reports show, never by which attempts are open. What is told stays bounded however many
 * tasks are away: one word a task within {@link #REPEAT_NANOS}, and {@link #MAX_PER_CHECK} tasks a
 * look, those never told of first; the rest is a number.
 *
 * <p>Confined to one thread. Rejects nulls. A look takes time in the number of lasting tasks, times
 * the logarithm of those away.
 */
public final class AbsenceDetector {
  /** How long a task is not seen before it counts as away, in nanoseconds. */
  public static final long ABSENT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Between two words about the same task that stays away, in nanoseconds. */
  public static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** The most tasks that one look tells to be away, and the most that it tells to be back. */
  public static final int MAX_PER_CHECK = 4;

  /**
   * What is known of a lasting task that should be at work.
   *
   * @param task the task
   * @param seenAt when the newest report was read that shows it at work, in the looker's
   *     nanoseconds; empty if there is none now
   * @param namedAt when the newest report was read that names an attempt of it at all
   */
  public record Observation(WorkflowTask task, OptionalLong seenAt, OptionalLong namedAt) {
    /** Checks the components. */
    public Observation {
      requireNonNull(task, "task");
      requireNonNull(seenAt, "seenAt");
      requireNonNull(namedAt, "namedAt");
    }
  }

  /**
   * A task that is away.
   *
   * @param task the task
   * @param seenBefore whether it was ever seen at work here
   * @param since when it was last seen, or when it was first looked for, in nanoseconds
   * @param namedAt when the newest report was read that named an attempt of it; empty if none did
   */
  public record Absence(WorkflowTask task, boolean seenBefore, long since, OptionalLong namedAt) {}

  /**
   * A task that was away and is seen again.
   *
   * @param task the task
   * @param absentNanos from when it was last seen, or first looked for, to when it was seen again
   */
  public record Recovery(WorkflowTask task, long absentNanos) {}

  /**
   * What one look found.
   *
   * @param longRunning how many tasks were looked for
   * @param absent how many of them are away
   * @param absences those away to be told now
   * @param omittedAbsences how many more would have been told now but for the bound; they come
   *     first with the next look
   * @param recoveries those back to be told now
   * @param omittedRecoveries how many more are back
   */
  public record CheckResult(
      int longRunning,
      int absent,
      ImmutableList<Absence> absences,
      int omittedAbsences,
      ImmutableList<Recovery> recoveries,
      int omittedRecoveries) {}

  private static final class TrackedTask {
    private long since;
    private boolean seenBefore;
    private boolean absent;
    private long reportedAt = Long.MIN_VALUE;
    private OptionalLong namedAt = OptionalLong.empty();

    private boolean isDue(long now) {
      return reportedAt == Long.MIN_VALUE || now - reportedAt >= REPEAT_NANOS;
    }
  }

  private record Due(WorkflowTask task, TrackedTask watched) {}

  private static final Comparator<Due> LEAST_RECENTLY_REPORTED_FIRST =
      Comparator.comparingLong((Due due) -> due.watched.reportedAt)
          .thenComparingLong(due -> due.watched.since);

  private final Map<TaskKey, TrackedTask> tracked = new HashMap<>();

  /** Creates a watch that knows of no task. */
  public AbsenceDetector() {}

  /**
   * Takes what is known of all lasting tasks that should be at work, and forgets all others.
   *
   * @param now in nanoseconds; never before that of the last look
   */
  public CheckResult check(Collection<Observation> lasting, long now) {
    List<Due> due = new ArrayList<>();
    List<Recovery> returns = new ArrayList<>();
    Set<TaskKey> known = new HashSet<>();
    int away = 0;
    for (Observation sight : lasting) {
      known.add(sight.task().key());
      TrackedTask each = tracked.computeIfAbsent(sight.task().key(), unused -> startTracking(now));
      if (sight.namedAt().isPresent()) {
        each.namedAt = sight.namedAt();
      }
      if (sight.seenAt().isPresent()) {
        recordSighting(sight.task(), each, sight.seenAt().getAsLong(), returns);
      }
      each.absent |= now - each.since >= ABSENT_NANOS;
      if (each.absent) {
        away++;
        if (each.isDue(now)) {
          due.add(new Due(sight.task(), each));
        }
      }
    }
    tracked.keySet().retainAll(known);
    due.sort(LEAST_RECENTLY_REPORTED_FIRST);
    return new CheckResult(
        lasting.size(),
        away,
        takeReports(due, now),
        Math.max(0, due.size() - MAX_PER_CHECK),
        returns.stream().limit(MAX_PER_CHECK).collect(ImmutableList.toImmutableList()),
        Math.max(0, returns.size() - MAX_PER_CHECK));
  }

  private static TrackedTask startTracking(long now) {
    TrackedTask begun = new TrackedTask();
    begun.since = now;
    return begun;
  }

  private static void recordSighting(
      WorkflowTask task, TrackedTask each, long seenAt, List<Recovery> returns) {
    boolean newer = !each.seenBefore || seenAt > each.since;
    if (!newer) {
      return;
    }
    if (each.absent) {
      returns.add(new Recovery(task, seenAt - each.since));
      each.absent = false;
      each.reportedAt = Long.MIN_VALUE;
    }
    each.seenBefore = true;
    each.since = seenAt;
  }

  private static ImmutableList<Absence> takeReports(List<Due> due, long now) {
    ImmutableList.Builder<Absence> told = ImmutableList.builder();
    for (Due each : due.subList(0, Math.min(MAX_PER_CHECK, due.size()))) {
      each.watched.reportedAt = now;
      told.add(
          new Absence(
              each.task, each.watched.seenBefore, each.watched.since, each.watched.namedAt));
    }
    return told.build();
  }
}
