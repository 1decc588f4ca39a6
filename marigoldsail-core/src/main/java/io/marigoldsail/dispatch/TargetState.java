package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * A target as its side process announces it to an entry.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm name of the VM
 * @param incarnation incarnation of the side process; a new incarnation is a new target, which is
 *     started slowly
 * @param service name of the service
 * @param zone availability zone of the VM
 * @param slots number of requests that the target processes concurrently
 * @param draining whether the target is draining and accepts no new requests
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

  /** Returns a copy of this state with the target draining. */
  public TargetState asDraining() {
    return new TargetState(vm, incarnation, service, zone, slots, true);
  }
}
