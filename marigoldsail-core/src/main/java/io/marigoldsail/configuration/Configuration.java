package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;

/**
 * What is in force at one site: the base with the site's overlay merged in and defaults for the
 * rest.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param revision the revision that this was merged at; 0 before the first publish
 * @param site the site's name
 * @param services the services that a file names
 * @param teams the teams that a file names
 * @param leases how long leases last
 * @param guard how the guard weighs
 */
public record Configuration(
    long revision,
    String site,
    Map<String, ServiceConfiguration> services,
    Map<String, TeamConfiguration> teams,
    LeaseConfiguration leases,
    GuardConfiguration guard) {
  /** Checks and copies the components. */
  public Configuration {
    requireNonNull(site, "site");
    services = ImmutableSortedMap.copyOf(services);
    teams = ImmutableSortedMap.copyOf(teams);
    requireNonNull(leases, "leases");
    requireNonNull(guard, "guard");
  }

  /** Returns what holds at a site before anything is published. */
  public static Configuration defaults(String site) {
    return new Configuration(
        0, site, Map.of(), Map.of(), LeaseConfiguration.DEFAULT, GuardConfiguration.DEFAULT);
  }

  /** Returns what holds for a service, also for one that no file names. */
  public ServiceConfiguration service(String name) {
    return services.getOrDefault(name, ServiceConfiguration.DEFAULT);
  }

  /** Returns what holds for a team, also for one that no file names. */
  public TeamConfiguration team(String name) {
    return teams.getOrDefault(name, TeamConfiguration.DEFAULT);
  }
}
