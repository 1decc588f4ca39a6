package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * One boot of a VM, as its side process announces it.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm the VM's name
 * @param bootIncarnation the worker's boot
 * @param capacity what tasks may use in all
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
