package io.marigoldsail.placement;

/**
 * What makes a VM worse for a task beside the room it has, in units of a whole VM's load.
 *
 * <p>Implementations must return at once.
 */
@FunctionalInterface
public interface PlacementCosts {
  /** Called once before a round of placements; what was learned meanwhile counts from here. */
  default void beginRound() {}

  /** Called once before the costs of one request are asked for, VM by VM. */
  default void prepare(PlacementRequest request) {}

  /** Returns the cost, 0 for none. */
  double cost(PlacementRequest request, CandidateVm room);

  /** Returns whether the service beside can bear the task there. */
  default boolean isTolerable(PlacementRequest request, CandidateVm room) {
    return true;
  }

  /** Returns costs that know nothing. */
  static PlacementCosts none() {
    return (request, room) -> 0;
  }
}
