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
 * tasks are away: one word a task within {@link #REPEAT_NANOS}, and {@link #MOST_PER_LOOK} tasks a
 * look, those never told of first; the rest is a number.
 *
 * <p>Confined to one thread. Rejects nulls. A look takes time in the number of lasting tasks, times
 * the logarithm of those away.
 */
public final class AbsenceWatch {
  /** How long a task is not seen before it counts as away, in nanoseconds. */
  public static final long ABSENT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Between two words about the same task that stays away, in nanoseconds. */
  public static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** The most tasks that one look tells to be away, and the most that it tells to be back. */
  public static final int MOST_PER_LOOK = 4;

  /**
   * What is known of a lasting task that should be at work.
   *
   * @param task the task
   * @param seenAt when the newest report was read that shows it at work, in the looker's
   *     nanoseconds; empty if there is none now
   * @param namedAt when the newest report was read that names an attempt of it at all
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
   * @param awayNanos from when it was last seen, or first looked for, to when it was seen again
   */
  public record Return(WorkflowTask task, long awayNanos) {}

  /**
   * What one look found.
   *
   * @param lasting how many tasks were looked for
   * @param away how many of them are away
   * @param absences those away to be told now
   * @param absencesLeftOut how many more would have been told now but for the bound; they come
   *     first with the next look
   * @param returns those back to be told now
   * @param returnsLeftOut how many more are back
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

  /** Creates a watch that knows of no task. */
  public AbsenceWatch() {}

  /**
   * Takes what is known of all lasting tasks that should be at work, and forgets all others.
   *
   * @param now in nanoseconds; never before that of the last look
   */
  public Look look(Collection<Sight> lasting, long now) {
    List<Due> due = new ArrayList<>();
    List<Return> returns = new ArrayList<>();
    Set<TaskKey> known = new HashSet<>();
    int away = 0;
    for (Sight sight : lasting) {
      known.add(sight.task().key());
      Watched each = watched.computeIfAbsent(sight.task().key(), unused -> begin(now));
      if (sight.namedAt().isPresent()) {
        each.namedAt = sight.namedAt();
      }
      if (sight.seenAt().isPresent()) {
        takeSeen(sight.task(), each, sight.seenAt().getAsLong(), returns);
      }
      each.away |= now - each.since >= ABSENT_NANOS;
      if (each.away) {
        away++;
        if (each.isDue(now)) {
          due.add(new Due(sight.task(), each));
        }
      }
    }
    watched.keySet().retainAll(known);
    due.sort(LONGEST_UNTOLD_FIRST);
    return new Look(
        lasting.size(),
        away,
        tell(due, now),
        Math.max(0, due.size() - MOST_PER_LOOK),
        returns.stream().limit(MOST_PER_LOOK).collect(ImmutableList.toImmutableList()),
        Math.max(0, returns.size() - MOST_PER_LOOK));
  }

  private static Watched begin(long now) {
    Watched begun = new Watched();
    begun.since = now;
    return begun;
  }

  private static void takeSeen(WorkflowTask task, Watched each, long seenAt, List<Return> returns) {
    boolean newer = !each.seenBefore || seenAt > each.since;
    if (!newer) {
      return;
    }
    if (each.away) {
      returns.add(new Return(task, seenAt - each.since));
      each.away = false;
      each.toldAt = Long.MIN_VALUE;
    }
    each.seenBefore = true;
    each.since = seenAt;
  }

  private static ImmutableList<Absence> tell(List<Due> due, long now) {
    ImmutableList.Builder<Absence> told = ImmutableList.builder();
    for (Due each : due.subList(0, Math.min(MOST_PER_LOOK, due.size()))) {
      each.watched.toldAt = now;
      told.add(
          new Absence(
              each.task, each.watched.seenBefore, each.watched.since, each.watched.namedAt));
    }
    return told.build();
  }
}
