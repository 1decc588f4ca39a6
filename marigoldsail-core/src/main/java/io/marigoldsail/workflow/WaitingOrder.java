package io.marigoldsail.workflow;

import java.util.Comparator;

/**
 * The order in which waiting tasks are offered room.
 *
 * <p>Load pattern: for some seconds more work than room. First come, first served makes everything
 * late then: each workflow waits behind all that came before it, also behind those that are past
 * saving. Queues of a lower priority number go first, since they may have room that others hold.
 * Within a priority go first those that can still be in time, then those that can still be of some
 * use, then those that come too late for anybody; among equals the one accepted first, so that work
 * begun is finished before more is begun.
 *
 * <p>Compares snapshots of the moment given, so the order is consistent while one list is sorted.
 */
public final class WaitingOrder {
  /** A workflow this many times later than in time is of no use any more. */
  static final long USELESS_FACTOR = 3;

  private static final Comparator<Ranked> ORDER =
      Comparator.comparingInt((Ranked each) -> each.priority)
          .thenComparing(each -> each.use)
          .thenComparingLong(each -> each.acceptedMillis)
          .thenComparingLong(each -> each.id);

  /** What a workflow that waits is still good for. */
  public enum Use {
    /** It can be in time. */
    IN_TIME,
    /** It will be late. */
    LATE,
    /** It comes too late for anybody. */
    NONE
  }

  /** A workflow with its place in the order at one moment. Immutable. */
  public static final class Ranked implements Comparable<Ranked> {
    private final int priority;
    private final Use use;
    private final long acceptedMillis;
    private final long id;

    private Ranked(Workflow workflow, Use use) {
      this.priority = workflow.spec().terms().priority();
      this.use = use;
      this.acceptedMillis = workflow.spec().acceptedMillis();
      this.id = workflow.spec().id();
    }

    /** Returns what it is still good for. */
    public Use use() {
      return use;
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

  /** Returns the workflow's place at a wall clock in milliseconds. */
  public static Ranked rank(Workflow workflow, long wallMillis) {
    return new Ranked(workflow, use(workflow, wallMillis));
  }

  private static Use use(Workflow workflow, long wallMillis) {
    WorkflowSpec spec = workflow.spec();
    boolean lasting = spec.steps().stream().anyMatch(step -> step.nature().lasting());
    if (lasting || spec.schedule().occurrences() > 0) {
      return Use.IN_TIME;
    }
    double allowed =
        spec.terms().slackFactor() * workflow.chainMillis(false) + spec.terms().objectiveMillis();
    long ends = wallMillis - spec.acceptedMillis() + workflow.chainMillis(true);
    if (ends <= allowed) {
      return Use.IN_TIME;
    }
    return ends <= USELESS_FACTOR * allowed ? Use.LATE : Use.NONE;
  }
}
