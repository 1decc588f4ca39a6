package io.marigoldsail.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.net.URI;

/**
 * The target beside a side process.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param service the service that the target belongs to
 * @param address the target's base address
 * @param slots how many requests it serves at once, at least 1
 * @param connections how many connections it takes, at least 1
 */
public record TargetSettings(String service, URI address, int slots, int connections) {
  /** Checks the components. */
  public TargetSettings {
    requireNonNull(service, "service");
    requireNonNull(address, "address");
    checkArgument(slots >= 1, "slots is below 1: %s", slots);
    checkArgument(connections >= 1, "connections is below 1: %s", connections);
  }
}
