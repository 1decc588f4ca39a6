package io.marigoldsail.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.net.URI;

/**
 * Settings of the target on a side process's VM.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param service the service that the target belongs to
 * @param address the target's base URI
 * @param slots how many requests it handles concurrently, at least 1
 * @param connections how many connections it accepts, at least 1
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
