package io.marigoldsail.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * Settings of a {@link RequestScheduler}. Immutable; rejects nulls.
 *
 * @param zone the entry's availability zone, preferred while its targets have free capacity
 * @param defaults limits of services that are missing from {@code services}
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

  /** Returns the settings of an entry in the given zone, with default limits for all services. */
  public static SchedulerSettings of(String zone) {
    return new SchedulerSettings(zone, ServiceLimits.DEFAULT, ImmutableMap.of());
  }

  /** Returns the limits of a service. */
  public ServiceLimits limitsOf(String service) {
    return services.getOrDefault(service, defaults);
  }
}
