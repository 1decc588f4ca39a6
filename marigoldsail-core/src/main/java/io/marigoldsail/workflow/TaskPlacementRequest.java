package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

/**
 * Placement request of a waiting task.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param spec the workflow
 * @param step the task's step
 * @param interference the believed interference of the step's image, from 0 to 1, see {@link
 *     ImageInterference}
 * @param urgency the urgency of the placement
 * @param siblingRack the rack on which tasks of the step run already, if they are to share a rack;
 *     else empty
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
