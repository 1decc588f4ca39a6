package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

/** Decision of a {@link Placer}; each kind is immutable and rejects nulls. */
public sealed interface PlacementDecision {
  /**
   * Run the task on the VM.
   *
   * @param candidate the VM
   * @param reason the reason, for people
   */
  record Chosen(CandidateVm candidate, String reason) implements PlacementDecision {
    /** Checks the components. */
    public Chosen {
      requireNonNull(candidate, "candidate");
      requireNonNull(reason, "reason");
    }
  }

  /**
   * Let the task wait.
   *
   * @param reason the reason, for people
   */
  record NoCapacity(String reason) implements PlacementDecision {
    /** Checks the components. */
    public NoCapacity {
      requireNonNull(reason, "reason");
    }
  }
}
