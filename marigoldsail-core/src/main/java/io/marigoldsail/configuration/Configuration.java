package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;

/**
 * The configuration in force at one site: the base with the site's overlay merged in, and defaults
 * for all other keys.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param revision the revision of this configuration; 0 before the first publish
 * @param site the site's name
 * @param services the services named in a file
 * @param teams the teams named in a file
 * @param leases the durations of leases
 * @param guard the weights and limits of the guard
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

  /** Returns the configuration of a site before the first publish. */
  public static Configuration defaults(String site) {
    return new Configuration(
        0, site, Map.of(), Map.of(), LeaseConfiguration.DEFAULT, GuardConfiguration.DEFAULT);
  }

  /** Returns the configuration of a service; the defaults if no file names it. */
  public ServiceConfiguration service(String name) {
    return services.getOrDefault(name, ServiceConfiguration.DEFAULT);
  }

  /** Returns the configuration of a team; the defaults if no file names it. */
  public TeamConfiguration team(String name) {
    return teams.getOrDefault(name, TeamConfiguration.DEFAULT);
  }
}
