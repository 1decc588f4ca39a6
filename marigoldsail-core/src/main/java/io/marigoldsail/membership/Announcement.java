package io.marigoldsail.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.TargetState;

/**
 * State of a VM and its target, as announced by the VM's side process.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm the VM's name
 * @param processIncarnation the incarnation of the side process; a later process has a higher one
 * @param zone the VM's availability zone
 * @param rack the VM's rack
 * @param address where entries connect to the side process, {@code host:port}
 * @param operatorsAddress where operators reach the side process, {@code host:port}, or empty
 * @param service the service of the VM's target, or empty if the VM has no target
 * @param slots how many requests the target runs concurrently, or 0 if there is no target
 * @param draining whether the target is draining and accepts no new requests
 * @param load the target's current load
 * @param configurationRevision the configuration revision in force in the side process
 */
public record Announcement(
    String vm,
    long processIncarnation,
    String zone,
    String rack,
    String address,
    String operatorsAddress,
    String service,
    int slots,
    boolean draining,
    TargetLoad load,
    long configurationRevision) {
  /** Checks the components. */
  public Announcement {
    checkArgument(!vm.isEmpty(), "vm is empty");
    requireNonNull(zone, "zone");
    requireNonNull(rack, "rack");
    checkArgument(!address.isEmpty(), "address of %s is empty", vm);
    requireNonNull(operatorsAddress, "operatorsAddress");
    requireNonNull(service, "service");
    checkArgument(slots >= 0, "slots is negative: %s", slots);
    requireNonNull(load, "load");
  }

  /** Returns whether the VM has a target that requests can be sent to. */
  public boolean hasTarget() {
    return !service.isEmpty() && slots > 0;
  }

  /**
   * Returns the target's state for dispatch decisions.
   *
   * @throws IllegalArgumentException if the VM has no target
   */
  public TargetState targetState() {
    return new TargetState(vm, processIncarnation, service, zone, slots, draining);
  }
}
