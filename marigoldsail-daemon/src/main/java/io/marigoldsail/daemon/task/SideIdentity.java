package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

/**
 * Identity of a side process and its VM.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm the VM's name
 * @param processIncarnation identifies the start of the side process; higher than that of any
 *     earlier start
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
