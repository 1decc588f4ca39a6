package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * A target as an entry knows it from its announcements.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm the VM's name
 * @param incarnation the side process's incarnation; a new one is a new target to be started slowly
 * @param service the service it serves
 * @param zone its availability zone
 * @param slots how many requests it runs at once
 * @param draining whether it takes nothing new
 */
public record TargetState(
    String vm, long incarnation, String service, String zone, int slots, boolean draining) {
  /** Checks the components. */
  public TargetState {
    requireNonNull(vm, "vm");
    requireNonNull(service, "service");
    requireNonNull(zone, "zone");
    checkArgument(slots > 0, "slots is not positive: %s", slots);
  }

  /** Returns this target as one that takes nothing new. */
  public TargetState asDraining() {
    return new TargetState(vm, incarnation, service, zone, slots, true);
  }
}
