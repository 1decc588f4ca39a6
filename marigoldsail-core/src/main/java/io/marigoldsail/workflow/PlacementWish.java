package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

/**
 * Placement request of a waiting task.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param spec the workflow
 * @param step the task's step
 * @param harm the believed interference of the step's image, from 0 to 1, see {@link ImageHarm}
 * @param urgency the urgency of the placement
 * @param siblingRack the rack on which tasks of the step run already, if they are to share a rack; else empty
 */
public record PlacementWish(
    WorkflowSpec spec, StepSpec step, double harm, Urgency urgency, String siblingRack) {
  /** Checks the components. */
  public PlacementWish {
    requireNonNull(spec, "spec");
    requireNonNull(step, "step");
    requireNonNull(urgency, "urgency");
    requireNonNull(siblingRack, "siblingRack");
  }
}
