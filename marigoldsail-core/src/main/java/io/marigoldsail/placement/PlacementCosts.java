package io.marigoldsail.placement;

/**
 * Costs of placing a task on a VM in addition to its load; 1 is the load of a full VM.
 *
 * <p>Implementations must not block.
 */
@FunctionalInterface
public interface PlacementCosts {
  /** Called once before a round of placements, which uses the current estimates. */
  default void beginRound() {}

  /** Called once per request, before the costs of its candidate VMs are queried. */
  default void prepare(PlacementRequest request) {}

  /** Returns the cost, 0 for none. */
  double cost(PlacementRequest request, CandidateVm candidate);

  /** Returns whether the service of the VM tolerates the task there. */
  default boolean isTolerable(PlacementRequest request, CandidateVm candidate) {
    return true;
  }

  /** Returns costs that are always zero. */
  static PlacementCosts none() {
    return (request, candidate) -> 0;
  }
}
