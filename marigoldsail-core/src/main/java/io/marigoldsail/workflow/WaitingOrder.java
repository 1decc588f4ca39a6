package io.marigoldsail.workflow;

import java.util.Comparator;

/**
 * Order in which waiting tasks are placed.
 *
 * <p>Guards against bursts with more work than capacity. First come, first served would make everything late then, because each workflow waits behind all earlier ones, also behind those that can no longer be in time. Queues of a lower priority number go first. Within a priority the order is by value per remaining work: a workflow that is nearly done goes before one that has hardly started, and one that will be late goes early only if little of it is left; results that would be too late to use go last. Without that, in a burst of heavy workflows the steps of each compete with the first steps of newer ones, all advance, and hardly any is done in time. Among equals the one accepted first goes first.
 *
 * <p>Compares snapshots taken at a given time, so the order is consistent while a list is sorted.
 */
public final class WaitingOrder {
  /** A workflow that takes more than this multiple of its allowed time is of no use. */
  static final long USELESS_FACTOR = 3;

  /** Value of a late workflow to its callers, as a fraction of one in time. */
  private static final double LATE_PART = 0.15;

  /** How many times longer a task may take that is throttled beside services: interfering tasks run at about a third of their speed there. */
  private static final long SLOWED_FACTOR = 3;

  /** How long a workflow without running tasks waits for a better place, in milliseconds. Its caller must see progress within three seconds if there is any capacity, and orders, refusals and starts take up to 1.5 s. */
  static final long HOLD_MILLIS = 1_200;

  /** Remaining work below this fraction counts as this fraction. */
  private static final double LEAST_LEFT = 0.02;

  private static final Comparator<Ranked> ORDER =
      Comparator.comparingInt((Ranked each) -> each.priority)
          .thenComparing(Comparator.comparingDouble((Ranked each) -> each.density).reversed())
          .thenComparingLong(each -> each.acceptedMillis)
          .thenComparingLong(each -> each.id);

  /** Whether the result of a waiting workflow is still of use. */
  public enum Use {
    /** It can be in time. */
    IN_TIME(1),
    /** It will be late, but of use. */
    LATE(LATE_PART),
    /** It will be too late to be of use. */
    NONE(0);

    private final double worth;

    Use(double worth) {
      this.worth = worth;
    }
  }

  /** Rank of a workflow at one time. Immutable. */
  public static final class Ranked implements Comparable<Ranked> {
    private final int priority;
    private final Use use;
    private final Urgency urgency;
    private final double density;
    private final long acceptedMillis;
    private final long id;

    private Ranked(Workflow workflow, Use use, Urgency urgency) {
      this.priority = workflow.spec().terms().priority();
      this.use = use;
      this.urgency = urgency;
      this.density = use.worth / Math.max(LEAST_LEFT, workflow.workLeft());
      this.acceptedMillis = workflow.spec().acceptedMillis();
      this.id = workflow.spec().id();
    }

    /** Returns whether the result is still of use. */
    public Use use() {
      return use;
    }

    /** Returns the urgency of placing its tasks. */
    public Urgency urgency() {
      return urgency;
    }

    @Override
    public int compareTo(Ranked other) {
      return ORDER.compare(this, other);
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof Ranked ranked && compareTo(ranked) == 0;
    }

    @Override
    public int hashCode() {
      return Long.hashCode(id);
    }
  }

  private WaitingOrder() {}

  /** Returns the workflow's rank at a wall clock in milliseconds. */
  public static Ranked rank(Workflow workflow, long wallMillis) {
    WorkflowSpec spec = workflow.spec();
    boolean lasting = spec.steps().stream().anyMatch(step -> step.nature().lasting());
    if (lasting || spec.schedule().occurrences() > 0) {
      return new Ranked(workflow, Use.IN_TIME, urgency(workflow, wallMillis, false));
    }
    double allowed =
        spec.terms().slackFactor() * workflow.chainMillis(false) + spec.terms().objectiveMillis();
    long age = wallMillis - spec.acceptedMillis();
    long left = workflow.chainMillis(true);
    boolean inTime = age + left <= allowed;
    boolean inTimeIfThrottled = age + SLOWED_FACTOR * left <= allowed;
    Use use = inTime ? Use.IN_TIME : lateness(age + left, allowed);
    return new Ranked(workflow, use, urgency(workflow, wallMillis, inTime && !inTimeIfThrottled));
  }

  private static Use lateness(long endsAfterMillis, double allowed) {
    return endsAfterMillis <= USELESS_FACTOR * allowed ? Use.LATE : Use.NONE;
  }

  private static Urgency urgency(Workflow workflow, long wallMillis, boolean hurried) {
    if (workflow.idleMillis(wallMillis) >= HOLD_MILLIS) {
      return Urgency.STARVED;
    }
    return hurried ? Urgency.HURRIED : Urgency.ORDINARY;
  }
}
