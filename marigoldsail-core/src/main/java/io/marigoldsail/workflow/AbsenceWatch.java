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
 * Decides which long-running tasks to report as absent, because no report has shown them running for a while, and which have recovered.
 *
 * <p>Guards against tasks that run nowhere while their owner assumes that they run: it uses what reports show, never which attempts are open. The number of reports is bounded however many tasks are absent: one per task within {@link #REPEAT_NANOS}, and {@link #MOST_PER_LOOK} tasks per check, those never reported first; the others are only counted.
 *
 * <p>Confined to one thread. Rejects nulls. A check takes time linear in the number of long-running tasks, times the logarithm of the number of absent ones.
 */
public final class AbsenceWatch {
  /** How long a task is not seen running before it counts as absent, in nanoseconds. */
  public static final long ABSENT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Interval between reports of the same absent task, in nanoseconds. */
  public static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Maximum number of absences, and of recoveries, that one check reports. */
  public static final int MOST_PER_LOOK = 4;

  /**
   * What is known of a long-running task that should run.
   *
   * @param task the task
   * @param seenAt when the latest report that shows it running was read, in nanoseconds of the caller's clock; empty if there is none now
   * @param namedAt when the latest report that names any attempt of it was read; empty if there is none
   */
  public record Sight(WorkflowTask task, OptionalLong seenAt, OptionalLong namedAt) {
    /** Checks the components. */
    public Sight {
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
   * @param awayNanos time from when it was last seen, or first checked, until it was seen again
   */
  public record Return(WorkflowTask task, long awayNanos) {}

  /**
   * Result of one check.
   *
   * @param lasting number of tasks checked
   * @param away number of those that are absent
   * @param absences the absences to report now
   * @param absencesLeftOut number of further absences that are due but over the limit; they come first in the next check
   * @param returns the recoveries to report now
   * @param returnsLeftOut number of further recoveries
   */
  public record Look(
      int lasting,
      int away,
      ImmutableList<Absence> absences,
      int absencesLeftOut,
      ImmutableList<Return> returns,
      int returnsLeftOut) {}

  private static final class Watched {
    private long since;
    private boolean seenBefore;
    private boolean away;
    private long toldAt = Long.MIN_VALUE;
    private OptionalLong namedAt = OptionalLong.empty();

    private boolean isDue(long now) {
      return toldAt == Long.MIN_VALUE || now - toldAt >= REPEAT_NANOS;
    }
  }

  private record Due(WorkflowTask task, Watched watched) {}

  private static final Comparator<Due> LONGEST_UNTOLD_FIRST =
      Comparator.comparingLong((Due due) -> due.watched.toldAt)
          .thenComparingLong(due -> due.watched.since);

  private final Map<TaskKey, Watched> watched = new HashMap<>();

  /** Creates a detector without tasks. */
  public AbsenceWatch() {}

  /**
   * Checks all long-running tasks that should run, and drops the state of all others.
   *
   * @param longRunning what is known of these tasks
   * @param now in nanoseconds; never earlier than in the previous check
   */
  public Look look(Collection<Sight> longRunning, long now) {
    List<Due> due = new ArrayList<>();
    List<Return> recoveries = new ArrayList<>();
    Set<TaskKey> checkedKeys = new HashSet<>();
    int away = 0;
    for (Sight observation : longRunning) {
      checkedKeys.add(observation.task().key());
      Watched state = watched.computeIfAbsent(observation.task().key(), unused -> begin(now));
      if (observation.namedAt().isPresent()) {
        state.namedAt = observation.namedAt();
      }
      if (observation.seenAt().isPresent()) {
        takeSeen(observation.task(), state, observation.seenAt().getAsLong(), recoveries);
      }
      state.away |= now - state.since >= ABSENT_NANOS;
      if (state.away) {
        away++;
        if (state.isDue(now)) {
          due.add(new Due(observation.task(), state));
        }
      }
    }
    watched.keySet().retainAll(checkedKeys);
    due.sort(LONGEST_UNTOLD_FIRST);
    return new Look(
        longRunning.size(),
        away,
        tell(due, now),
        Math.max(0, due.size() - MOST_PER_LOOK),
        recoveries.stream().limit(MOST_PER_LOOK).collect(ImmutableList.toImmutableList()),
        Math.max(0, recoveries.size() - MOST_PER_LOOK));
  }

  private static Watched begin(long now) {
    Watched tracked = new Watched();
    tracked.since = now;
    return tracked;
  }

  private static void takeSeen(WorkflowTask task, Watched state, long seenAt, List<Return> recoveries) {
    boolean newer = !state.seenBefore || seenAt > state.since;
    if (!newer) {
      return;
    }
    if (state.away) {
      recoveries.add(new Return(task, seenAt - state.since));
      state.away = false;
      state.toldAt = Long.MIN_VALUE;
    }
    state.seenBefore = true;
    state.since = seenAt;
  }

  private static ImmutableList<Absence> tell(List<Due> due, long now) {
    ImmutableList.Builder<Absence> reported = ImmutableList.builder();
    for (Due next : due.subList(0, Math.min(MOST_PER_LOOK, due.size()))) {
      next.watched.toldAt = now;
      reported.add(
          new Absence(
              next.task, next.watched.seenBefore, next.watched.since, next.watched.namedAt));
    }
    return reported.build();
  }
}
