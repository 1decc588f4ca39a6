package io.marigoldsail.settings;

import static java.util.Objects.requireNonNull;

import java.net.URI;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a side process, which runs on a VM with its target and worker.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the VM's name, also used as the process's name
 * @param site the site, which selects the configuration overlay
 * @param zone the availability zone
 * @param rack the rack of the VM
 * @param operatorsAddress the listening address for operators, metrics and events
 * @param processesAddress the listening address for entries
 * @param logService the log service's base URI
 * @param target the target on the VM, if there is one
 * @param worker the worker's base URI, if there is one
 * @param entries the entries to announce to initially; they provide the addresses of the others
 * @param peers operators' addresses of processes that provide the configuration during a log outage
 */
public record SideSettings(
    String name,
    String site,
    String zone,
    String rack,
    HostPort operatorsAddress,
    HostPort processesAddress,
    URI logService,
    Optional<TargetSettings> target,
    Optional<URI> worker,
    List<HostPort> entries,
    List<HostPort> peers)
    implements ProcessSettings {
  /** The role's name in a settings file. */
  public static final String ROLE = "side";

  /** Checks and copies the components. */
  public SideSettings {
    requireNonNull(name, "name");
    requireNonNull(site, "site");
    requireNonNull(zone, "zone");
    requireNonNull(rack, "rack");
    requireNonNull(operatorsAddress, "operatorsAddress");
    requireNonNull(processesAddress, "processesAddress");
    requireNonNull(logService, "logService");
    requireNonNull(target, "target");
    requireNonNull(worker, "worker");
    entries = List.copyOf(entries);
    peers = List.copyOf(peers);
  }

  /** Creates settings without peers. */
  public SideSettings(
      String name,
      String site,
      String zone,
      String rack,
      HostPort operatorsAddress,
      HostPort processesAddress,
      URI logService,
      Optional<TargetSettings> target,
      Optional<URI> worker,
      List<HostPort> entries) {
    this(
        name,
        site,
        zone,
        rack,
        operatorsAddress,
        processesAddress,
        logService,
        target,
        worker,
        entries,
        List.of());
  }

  @Override
  public String role() {
    return ROLE;
  }
}
