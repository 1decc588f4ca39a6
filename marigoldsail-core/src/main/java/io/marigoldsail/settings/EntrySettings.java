package io.marigoldsail.settings;

import static java.util.Objects.requireNonNull;

import java.net.URI;

/**
 * Settings of an entry process, which callers reach through the platform's balancer.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the process's name
 * @param site the site, which chooses the configuration overlay
 * @param zone the availability zone
 * @param callersAddress where callers are served
 * @param operatorsAddress where operators, metrics and events are served
 * @param processesAddress where side processes connect
 * @param logService the log service's base address
 */
public record EntrySettings(
    String name,
    String site,
    String zone,
    HostPort callersAddress,
    HostPort operatorsAddress,
    HostPort processesAddress,
    URI logService)
    implements ProcessSettings {
  /** The role's name in a settings file. */
  public static final String ROLE = "entry";

  /** Checks the components. */
  public EntrySettings {
    requireNonNull(name, "name");
    requireNonNull(site, "site");
    requireNonNull(zone, "zone");
    requireNonNull(callersAddress, "callersAddress");
    requireNonNull(operatorsAddress, "operatorsAddress");
    requireNonNull(processesAddress, "processesAddress");
    requireNonNull(logService, "logService");
  }

  @Override
  public String role() {
    return ROLE;
  }
}
