package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

/** What a {@link Placer} decided; each kind is immutable and rejects nulls. */
public sealed interface PlacementDecision {
  /**
   * Run it there.
   *
   * @param room the VM
   * @param why the grounds, for people
   */
  record Chosen(VmRoom room, String why) implements PlacementDecision {
    /** Checks the components. */
    public Chosen {
      requireNonNull(room, "room");
      requireNonNull(why, "why");
    }
  }

  /**
   * Let it wait.
   *
   * @param why the grounds, for people
   */
  record NoRoom(String why) implements PlacementDecision {
    /** Checks the components. */
    public NoRoom {
      requireNonNull(why, "why");
    }
  }
}
