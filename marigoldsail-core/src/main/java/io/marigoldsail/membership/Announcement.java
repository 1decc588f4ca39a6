package io.marigoldsail.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.TargetState;

/**
 * What the side process of a VM says of it and of its target.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm the VM's name
 * @param processIncarnation the side process's own incarnation; a higher one is a later process
 * @param zone the VM's availability zone
 * @param rack the VM's rack
 * @param address where entries may dial the side process, {@code host:port}
 * @param operatorsAddress where operators reach the side process, {@code host:port}, or empty
 * @param service the service of the VM's target, or empty where it has none
 * @param slots how many requests the target runs at once, or 0 where there is none
 * @param draining whether the target takes nothing new
 * @param load what the target has to do now
 * @param configurationRevision the revision in force in the side process
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
   * Returns the target as decisions see it.
   *
   * @throws IllegalArgumentException if the VM has none
   */
  public TargetState targetState() {
    return new TargetState(vm, processIncarnation, service, zone, slots, draining);
  }
}
