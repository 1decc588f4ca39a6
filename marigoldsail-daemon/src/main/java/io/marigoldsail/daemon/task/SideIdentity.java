package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

/**
 * Which side process this is, and of which VM.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm the VM's name
 * @param processIncarnation this start of the side process; higher than any earlier one
 * @param zone the VM's availability zone
 * @param rack the VM's rack
 */
public record SideIdentity(String vm, long processIncarnation, String zone, String rack) {
  /** Checks the components. */
  public SideIdentity {
    requireNonNull(vm, "vm");
    requireNonNull(zone, "zone");
    requireNonNull(rack, "rack");
  }
}
