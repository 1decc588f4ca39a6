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
 * Decides which long-running tasks to report as absent, because no report has shown them running
 * for a while, and which have recovered.
 *
 * <p>Guards against tasks that run nowhere while their owner assumes that they run: it relies on
 * reports of running attempts, never on the record of open attempts. The number of reports is
 * bounded however many tasks are absent: one per task within {@link #REPEAT_NANOS}, and {@link
 * #MAX_PER_CHECK} tasks per check, those never reported first; the others are only counted.
 *
 * <p>Confined to one thread. Rejects nulls. A check takes time linear in the number of long-running
 * tasks, times the logarithm of the number of absent ones.
 */
public final class AbsenceDetector {
  /** How long a task is not seen running before it counts as absent, in nanoseconds. */
  public static final long ABSENT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Interval between reports of the same absent task, in nanoseconds. */
  public static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Maximum number of absences, and of recoveries, that one check reports. */
  public static final int MAX_PER_CHECK = 4;

  /**
   * When reports last showed a long-running task that should run.
   *
   * @param task the task
   * @param seenAt when the latest report that shows it running was read, in nanoseconds of the
   *     caller's clock; empty if there is none now
   * @param namedAt when the latest report that names any attempt of it was read; empty if there is
   *     none
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
   * A task that is absent.
   *
   * @param task the task
   * @param seenBefore whether it was ever seen running here
   * @param since when it was last seen, or first checked, in nanoseconds
   * @param namedAt when the latest report that named an attempt of it was read; empty if none did
   */
  public record Absence(WorkflowTask task, boolean seenBefore, long since, OptionalLong namedAt) {}

  /**
   * A task that was absent and is seen running again.
   *
   * @param task the task
   * @param absentNanos time from when it was last seen, or first checked, until it was seen again
   */
  public record Recovery(WorkflowTask task, long absentNanos) {}

  /**
   * Result of one check.
   *
   * @param longRunning number of tasks checked
   * @param absent number of those that are absent
   * @param absences the absences to report now
   * @param omittedAbsences number of further absences that are due but over the limit; they come
   *     first in the next check
   * @param recoveries the recoveries to report now
   * @param omittedRecoveries number of further recoveries
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

  private record Due(WorkflowTask task, TrackedTask state) {}

  private static final Comparator<Due> LEAST_RECENTLY_REPORTED_FIRST =
      Comparator.comparingLong((Due due) -> due.state.reportedAt)
          .thenComparingLong(due -> due.state.since);

  private final Map<TaskKey, TrackedTask> tracked = new HashMap<>();

  /** Creates a detector without tasks. */
  public AbsenceDetector() {}

  /**
   * Checks all long-running tasks that should run, and drops the state of all others.
   *
   * @param longRunning an observation of each of these tasks
   * @param now in nanoseconds; never earlier than in the previous check
   */
  public CheckResult check(Collection<Observation> longRunning, long now) {
    List<Due> due = new ArrayList<>();
    List<Recovery> recoveries = new ArrayList<>();
    Set<TaskKey> checkedKeys = new HashSet<>();
    int absent = 0;
    for (Observation observation : longRunning) {
      checkedKeys.add(observation.task().key());
      TrackedTask state =
          tracked.computeIfAbsent(observation.task().key(), unused -> startTracking(now));
      if (observation.namedAt().isPresent()) {
        state.namedAt = observation.namedAt();
      }
      if (observation.seenAt().isPresent()) {
        recordSighting(observation.task(), state, observation.seenAt().getAsLong(), recoveries);
      }
      state.absent |= now - state.since >= ABSENT_NANOS;
      if (state.absent) {
        absent++;
        if (state.isDue(now)) {
          due.add(new Due(observation.task(), state));
        }
      }
    }
    tracked.keySet().retainAll(checkedKeys);
    due.sort(LEAST_RECENTLY_REPORTED_FIRST);
    return new CheckResult(
        longRunning.size(),
        absent,
        takeReports(due, now),
        Math.max(0, due.size() - MAX_PER_CHECK),
        recoveries.stream().limit(MAX_PER_CHECK).collect(ImmutableList.toImmutableList()),
        Math.max(0, recoveries.size() - MAX_PER_CHECK));
  }

  private static TrackedTask startTracking(long now) {
    TrackedTask tracked = new TrackedTask();
    tracked.since = now;
    return tracked;
  }

  private static void recordSighting(
      WorkflowTask task, TrackedTask state, long seenAt, List<Recovery> recoveries) {
    boolean newer = !state.seenBefore || seenAt > state.since;
    if (!newer) {
      return;
    }
    if (state.absent) {
      recoveries.add(new Recovery(task, seenAt - state.since));
      state.absent = false;
      state.reportedAt = Long.MIN_VALUE;
    }
    state.seenBefore = true;
    state.since = seenAt;
  }

  private static ImmutableList<Absence> takeReports(List<Due> due, long now) {
    ImmutableList.Builder<Absence> reported = ImmutableList.builder();
    for (Due next : due.subList(0, Math.min(MAX_PER_CHECK, due.size()))) {
      next.state.reportedAt = now;
      reported.add(
          new Absence(next.task, next.state.seenBefore, next.state.since, next.state.namedAt));
    }
    return reported.build();
  }
}
