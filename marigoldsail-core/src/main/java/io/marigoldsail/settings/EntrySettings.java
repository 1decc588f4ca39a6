package io.marigoldsail.settings;

import static java.util.Objects.requireNonNull;

import java.net.URI;
import java.util.List;

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
 * @param peers operators' addresses to ask for the configuration while the log is down
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
