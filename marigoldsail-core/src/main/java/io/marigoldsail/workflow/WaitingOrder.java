package io.marigoldsail.workflow;

import java.util.Comparator;

/**
 * Order in which waiting tasks are placed.
 *
 * <p>Guards against bursts with more work than capacity. First come, first served would make
 * everything late then, because each workflow waits behind all earlier ones, also behind those that
 * can no longer be in time. Queues of a lower priority number go first, because they are entitled
 * to capacity that others hold. Within a priority the order is by value per remaining work: a
 * workflow that is nearly done goes before one that has hardly started, and one that will be late
 * goes early only if little of it is left; results that would be too late to use go last. Without
 * that, in a burst of heavy workflows the steps of each compete with the first steps of newer ones,
 * all advance, and hardly any is done in time. Among equals the one accepted first goes first.
 *
 * <p>Compares snapshots taken at a given time, so the order is consistent while a list is sorted.
 */
public final class WaitingOrder {
  /** A workflow that takes more than this multiple of its allowed time is of no use. */
  static final long EXPIRED_FACTOR = 3;

  /** Value of a late workflow to its callers, as a fraction of one in time. */
  private static final double LATE_VALUE = 0.15;

  /**
   * How many times longer a task may take that is throttled beside services: interfering tasks run
   * at about a third of their speed there.
   */
  private static final long THROTTLED_FACTOR = 3;

  /**
   * How long a workflow without running tasks waits for a better place, in milliseconds. Its caller
   * must see progress within three seconds if there is any capacity, and orders, refusals and
   * starts take up to 1.5 s.
   */
  static final long STARVATION_MILLIS = 1_200;

  /** Remaining work below this fraction counts as this fraction. */
  private static final double MIN_REMAINING_WORK = 0.02;

  private static final Comparator<Rank> ORDER =
      Comparator.comparingInt((Rank each) -> each.priority)
          .thenComparing(Comparator.comparingDouble((Rank each) -> each.density).reversed())
          .thenComparingLong(each -> each.acceptedMillis)
          .thenComparing(each -> each.id);

  /** Whether the result of a waiting workflow is still of use. */
  public enum Timeliness {
    /** It can be in time. */
    IN_TIME(1),
    /** It will be late, but of use. */
    LATE(LATE_VALUE),
    /** It will be too late to be of use. */
    EXPIRED(0);

    private final double value;

    Timeliness(double value) {
      this.value = value;
    }
  }

  /** Rank of a workflow at one time. Immutable. */
  public static final class Rank implements Comparable<Rank> {
    private final int priority;
    private final Timeliness timeliness;
    private final Urgency urgency;
    private final double density;
    private final long acceptedMillis;
    private final WorkflowId id;

    private Rank(Workflow workflow, Timeliness timeliness, Urgency urgency) {
      this.priority = workflow.spec().policy().priority();
      this.timeliness = timeliness;
      this.urgency = urgency;
      this.density = timeliness.value / Math.max(MIN_REMAINING_WORK, workflow.remainingWork());
      this.acceptedMillis = workflow.spec().acceptedMillis();
      this.id = workflow.spec().id();
    }

    /** Returns whether the result is still of use. */
    public Timeliness timeliness() {
      return timeliness;
    }

    /** Returns the urgency of placing its tasks. */
    public Urgency urgency() {
      return urgency;
    }

    @Override
    public int compareTo(Rank other) {
      return ORDER.compare(this, other);
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof Rank ranked && compareTo(ranked) == 0;
    }

    @Override
    public int hashCode() {
      return id.hashCode();
    }
  }

  private WaitingOrder() {}

  /** Returns the workflow's rank at a wall clock in milliseconds. */
  public static Rank rank(Workflow workflow, long wallMillis) {
    WorkflowSpec spec = workflow.spec();
    boolean hasLongRunning = spec.steps().stream().anyMatch(step -> step.traits().longRunning());
    if (hasLongRunning || spec.schedule().occurrences() > 0) {
      return new Rank(workflow, Timeliness.IN_TIME, urgency(workflow, wallMillis, false));
    }
    double allowed =
        spec.policy().slackFactor() * workflow.criticalPathMillis(false)
            + spec.policy().objectiveMillis();
    long age = wallMillis - spec.acceptedMillis();
    long remaining = workflow.criticalPathMillis(true);
    boolean inTime = age + remaining <= allowed;
    boolean inTimeIfThrottled = age + THROTTLED_FACTOR * remaining <= allowed;
    Timeliness timeliness = inTime ? Timeliness.IN_TIME : lateOrExpired(age + remaining, allowed);
    return new Rank(
        workflow, timeliness, urgency(workflow, wallMillis, inTime && !inTimeIfThrottled));
  }

  private static Timeliness lateOrExpired(long endsAfterMillis, double allowed) {
    return endsAfterMillis <= EXPIRED_FACTOR * allowed ? Timeliness.LATE : Timeliness.EXPIRED;
  }

  private static Urgency urgency(Workflow workflow, long wallMillis, boolean hurried) {
    if (workflow.idleMillis(wallMillis) >= STARVATION_MILLIS) {
      return Urgency.STARVED;
    }
    return hurried ? Urgency.HURRIED : Urgency.ORDINARY;
  }
}
