package io.marigoldsail.settings;

import static java.util.Objects.requireNonNull;

import java.net.URI;
import java.util.List;

/**
 * Settings of an entry process, which callers reach through the platform's load balancer.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the process's name
 * @param site the site, which selects the configuration overlay
 * @param zone the availability zone
 * @param callersAddress the listening address for callers
 * @param operatorsAddress the listening address for operators, metrics and events
 * @param processesAddress the listening address for side processes
 * @param logService the log service's base URI
 * @param peers operators' addresses of processes that provide the configuration during a log outage
 */
public record EntrySettings(
    String name,
    String site,
    String zone,
    HostPort callersAddress,
    HostPort operatorsAddress,
    HostPort processesAddress,
    URI logService,
    List<HostPort> peers)
    implements ProcessSettings {
  /** The role's name in a settings file. */
  public static final String ROLE = "entry";

  /** Checks and copies the components. */
  public EntrySettings {
    requireNonNull(name, "name");
    requireNonNull(site, "site");
    requireNonNull(zone, "zone");
    requireNonNull(callersAddress, "callersAddress");
    requireNonNull(operatorsAddress, "operatorsAddress");
    requireNonNull(processesAddress, "processesAddress");
    requireNonNull(logService, "logService");
    peers = List.copyOf(peers);
  }

  /** Creates settings without peers. */
  public EntrySettings(
      String name,
      String site,
      String zone,
      HostPort callersAddress,
      HostPort operatorsAddress,
      HostPort processesAddress,
      URI logService) {
    this(
        name,
        site,
        zone,
        callersAddress,
        operatorsAddress,
        processesAddress,
        logService,
        List.of());
  }

  @Override
  public String role() {
    return ROLE;
  }
}
