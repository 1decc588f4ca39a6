package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * A boot of a VM, as described by its side process.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm the VM's name
 * @param bootIncarnation identifies the boot of the VM's worker
 * @param capacity the total resources for tasks
 * @param zone its availability zone
 * @param rack its rack
 */
public record VmDescription(
    String vm, long bootIncarnation, Sizes capacity, String zone, String rack) {
  /** Checks the components. */
  public VmDescription {
    checkArgument(vm != null && !vm.isEmpty(), "vm is empty");
    requireNonNull(capacity, "capacity");
    requireNonNull(zone, "zone");
    requireNonNull(rack, "rack");
  }
}
