package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

/**
 * Placement request of a waiting task.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param service the service whose workers may run the task
 * @param step the task's step
 * @param interference the believed interference of the step's image, from 0 to 1, see {@link
 *     ImageInterference}
 * @param urgency the urgency of the placement
 * @param siblingRack the rack on which tasks of the step run already, if they are to share a rack;
 *     else empty
 */
public record TaskPlacementRequest(
    String service, StepSpec step, double interference, Urgency urgency, String siblingRack) {
  /** Checks the components. */
  public TaskPlacementRequest {
    requireNonNull(service, "service");
    requireNonNull(step, "step");
    requireNonNull(urgency, "urgency");
    requireNonNull(siblingRack, "siblingRack");
  }
}
