package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

/**
 * What a waiting task needs of a VM.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param spec the workflow
 * @param step the task's step
 * @param interference how harmful the step's image is believed to be, see {@link ImageInterference}
 * @param urgency how much a place matters
 * @param siblingRack the rack where tasks of the step are at work, if they are to stand on one rack
 *     together; else empty
 */
public record TaskPlacementRequest(
    WorkflowSpec spec, StepSpec step, double interference, Urgency urgency, String siblingRack) {
  /** Checks the components. */
  public TaskPlacementRequest {
    requireNonNull(spec, "spec");
    requireNonNull(step, "step");
    requireNonNull(urgency, "urgency");
    requireNonNull(siblingRack, "siblingRack");
  }
}
