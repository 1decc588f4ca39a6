package io.marigoldsail.workflow;

import java.util.Comparator;

/**
 * The order in which waiting tasks are offered room.
 *
 * <p>Load pattern: more work than room. Queues of a lower priority number go first, since they may
 * have room that others hold; within a queue's priority the workflow accepted first goes first, so
 * that work begun is finished before more is begun and everybody's turn comes.
 */
public final class WaitingOrder implements Comparator<Workflow> {
  /** The only order. */
  public static final WaitingOrder INSTANCE = new WaitingOrder();

  private static final Comparator<Workflow> ORDER =
      Comparator.comparingInt((Workflow workflow) -> workflow.spec().terms().priority())
          .thenComparingLong(workflow -> workflow.spec().acceptedMillis())
          .thenComparingLong(workflow -> workflow.spec().id());

  private WaitingOrder() {}

  @Override
  public int compare(Workflow first, Workflow second) {
    return ORDER.compare(first, second);
  }
}
