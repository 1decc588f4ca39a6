package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

/** What a {@link Placer} decided; each kind is immutable and rejects nulls. */
public sealed interface PlacementDecision {
  /**
   * Run it there.
   *
   * @param candidate the VM
   * @param reason the grounds, for people
   */
  record Chosen(CandidateVm candidate, String reason) implements PlacementDecision {
    /** Checks the components. */
    public Chosen {
      requireNonNull(candidate, "room");
      requireNonNull(reason, "why");
    }
  }

  /**
   * Let it wait.
   *
   * @param reason the grounds, for people
   */
  record NoCapacity(String reason) implements PlacementDecision {
    /** Checks the components. */
    public NoCapacity {
      requireNonNull(reason, "why");
    }
  }
}
