package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.concurrent.CompletableFuture;

/**
 * Knows which VMs a queue's policy lets run a step.
 *
 * <p>Calls never block; futures complete on any thread and never exceptionally.
 */
public interface PlacementAdviser {
  /** How a call ended. */
  sealed interface AdviceResult {}

  /**
   * An answer.
   *
   * @param tickets by the worker's life, for those that may run the step
   */
  record Advised(ImmutableMap<String, String> tickets) implements AdviceResult {
    /** Checks the components. */
    public Advised {
      requireNonNull(tickets, "tickets");
    }
  }

  /** No answer, or none that can be read; the call may be repeated. */
  record AdviceUnavailable(String reason) implements AdviceResult {}

  /**
   * Asks which of the workers may run the tasks of a step.
   *
   * @param workflow the workflow's id
   * @param workers lives of workers
   * @param timeoutMillis how long to wait for the answer
   */
  CompletableFuture<AdviceResult> advise(
      long workflow, int occurrence, int step, ImmutableList<String> workers, long timeoutMillis);
}
