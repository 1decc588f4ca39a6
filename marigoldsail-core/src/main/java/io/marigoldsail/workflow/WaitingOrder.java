package io.marigoldsail.workflow;

import java.util.Comparator;

/**
 * The order in which waiting tasks are offered room.
 *
 * <p>Load pattern: for some seconds more work than room. First come, first served makes everything
 * late then: each workflow waits behind all that came before it, also behind those that are past
 * saving. Queues of a lower priority number go first, since they may have room that others hold.
 * Within a priority goes first what is worth most for the work that it still needs: a workflow that
 * is nearly done before one that has hardly begun, and one that will be late only with so little
 * left that it is worth it; what comes too late for anybody goes last. Without that, in a burst of
 * heavy workflows each step of each competes with the first steps of newer ones, all advance and
 * hardly any is done in time. Among equals the one accepted first.
 *
 * <p>Compares snapshots of the moment given, so the order is consistent while one list is sorted.
 */
public final class WaitingOrder {
  /** A workflow this many times later than in time is of no use any more. */
  static final long EXPIRED_FACTOR = 3;

  /** What a late workflow is worth to its callers, as a part of one in time. */
  private static final double LATE_VALUE = 0.15;

  /**
   * How many times as long a task may take that is slowed down beside services: suspects work there
   * at about a third of their speed.
   */
  private static final long THROTTLED_FACTOR = 3;

  /**
   * For how long a workflow with nothing at work waits for a better place, in milliseconds: its
   * caller must see it get on within three seconds if there is any room, and orders, refusals and
   * starts take up to one and a half.
   */
  static final long STARVATION_MILLIS = 1_200;

  /** Under this part of its work left, a workflow counts as nearly done. */
  private static final double MIN_REMAINING_WORK = 0.02;

  private static final Comparator<Rank> ORDER =
      Comparator.comparingInt((Rank each) -> each.priority)
          .thenComparing(Comparator.comparingDouble((Rank each) -> each.density).reversed())
          .thenComparingLong(each -> each.acceptedMillis)
          .thenComparingLong(each -> each.id);

  /** What a workflow that waits is still good for. */
  public enum Timeliness {
    /** It can be in time. */
    IN_TIME(1),
    /** It will be late. */
    LATE(LATE_VALUE),
    /** It comes too late for anybody. */
    EXPIRED(0);

    private final double value;

    Timeliness(double worth) {
      this.value = worth;
    }
  }

  /** A workflow with its place in the order at one moment. Immutable. */
  public static final class Rank implements Comparable<Rank> {
    private final int priority;
    private final Timeliness timeliness;
    private final Urgency urgency;
    private final double density;
    private final long acceptedMillis;
    private final long id;

    private Rank(Workflow workflow, Timeliness use, Urgency urgency) {
      this.priority = workflow.spec().policy().priority();
      this.timeliness = use;
      this.urgency = urgency;
      this.density = use.value / Math.max(MIN_REMAINING_WORK, workflow.remainingWork());
      this.acceptedMillis = workflow.spec().acceptedMillis();
      this.id = workflow.spec().id();
    }

    /** Returns what it is still good for. */
    public Timeliness timeliness() {
      return timeliness;
    }

    /** Returns how much a place matters to its tasks. */
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
      return Long.hashCode(id);
    }
  }

  private WaitingOrder() {}

  /** Returns the workflow's place at a wall clock in milliseconds. */
  public static Rank rank(Workflow workflow, long wallMillis) {
    WorkflowSpec spec = workflow.spec();
    boolean lasting = spec.steps().stream().anyMatch(step -> step.traits().longRunning());
    if (lasting || spec.schedule().occurrences() > 0) {
      return new Rank(workflow, Timeliness.IN_TIME, urgency(workflow, wallMillis, false));
    }
    double allowed =
        spec.policy().slackFactor() * workflow.criticalPathMillis(false)
            + spec.policy().objectiveMillis();
    long age = wallMillis - spec.acceptedMillis();
    long left = workflow.criticalPathMillis(true);
    boolean inTime = age + left <= allowed;
    boolean bearsSlowing = age + THROTTLED_FACTOR * left <= allowed;
    Timeliness use = inTime ? Timeliness.IN_TIME : lateOrExpired(age + left, allowed);
    return new Rank(workflow, use, urgency(workflow, wallMillis, inTime && !bearsSlowing));
  }

  private static Timeliness lateOrExpired(long ends, double allowed) {
    return ends <= EXPIRED_FACTOR * allowed ? Timeliness.LATE : Timeliness.EXPIRED;
  }

  private static Urgency urgency(Workflow workflow, long wallMillis, boolean hurried) {
    if (workflow.idleMillis(wallMillis) >= STARVATION_MILLIS) {
      return Urgency.STARVED;
    }
    return hurried ? Urgency.HURRIED : Urgency.ORDINARY;
  }
}
