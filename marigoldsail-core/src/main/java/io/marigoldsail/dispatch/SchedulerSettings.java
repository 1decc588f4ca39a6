package io.marigoldsail.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * Settings of a {@link RequestScheduler}. Immutable; rejects nulls.
 *
 * @param zone the entry's own availability zone, preferred while its targets have room
 * @param defaults limits of services that {@code services} does not name
 * @param services limits by service name
 */
public record SchedulerSettings(
    String zone, ServiceLimits defaults, Map<String, ServiceLimits> services) {
  /** Checks and copies the components. */
  public SchedulerSettings {
    requireNonNull(zone, "zone");
    requireNonNull(defaults, "defaults");
    services = ImmutableMap.copyOf(services);
  }

  /** Returns settings of an entry in the given zone with default limits throughout. */
  public static SchedulerSettings of(String zone) {
    return new SchedulerSettings(zone, ServiceLimits.DEFAULT, ImmutableMap.of());
  }

  /** Returns the limits of a service. */
  public ServiceLimits limitsOf(String service) {
    return services.getOrDefault(service, defaults);
  }
}
