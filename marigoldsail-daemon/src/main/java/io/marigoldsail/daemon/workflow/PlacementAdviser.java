package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.marigoldsail.workflow.WorkflowId;
import java.util.concurrent.CompletableFuture;

/**
 * Determines on which VMs the policy of a queue allows a step to run.
 *
 * <p>Calls never block; futures complete on any thread and never exceptionally.
 */
public interface PlacementAdviser {
  /** The result of a call. */
  sealed interface AdviceResult {}

  /**
   * Advice was given.
   *
   * @param tickets by worker incarnation, for the workers that may run the step
   */
  record Advised(ImmutableMap<String, String> tickets) implements AdviceResult {
    /** Checks the components. */
    public Advised {
      requireNonNull(tickets, "tickets");
    }
  }

  /**
   * No response, or one that cannot be decoded; the call may be repeated.
   *
   * @param reason text for logs
   */
  record AdviceUnavailable(String reason) implements AdviceResult {}

  /**
   * Requests which of the workers may run the tasks of a step.
   *
   * @param workflow the workflow's id
   * @param occurrence the occurrence of the workflow, from 0
   * @param step the position of the step, from 0
   * @param workers worker incarnations
   * @param timeoutMillis time to wait for the response, in milliseconds
   */
  CompletableFuture<AdviceResult> advise(
      WorkflowId workflow,
      int occurrence,
      int step,
      ImmutableList<String> workers,
      long timeoutMillis);
}
