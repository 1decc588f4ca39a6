package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

/** Decision of a {@link Placer}; each kind is immutable and rejects nulls. */
public sealed interface PlacementDecision {
  /**
   * Run the task on the VM.
   *
   * @param room the VM
   * @param why the reason, for people
   */
  record Chosen(VmRoom room, String why) implements PlacementDecision {
    /** Checks the components. */
    public Chosen {
      requireNonNull(room, "room");
      requireNonNull(why, "why");
    }
  }

  /**
   * Let the task wait.
   *
   * @param why the reason, for people
   */
  record NoRoom(String why) implements PlacementDecision {
    /** Checks the components. */
    public NoRoom {
      requireNonNull(why, "why");
    }
  }
}
