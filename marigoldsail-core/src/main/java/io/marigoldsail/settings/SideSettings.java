package io.marigoldsail.settings;

import static java.util.Objects.requireNonNull;

import java.net.URI;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a side process, which runs on a VM beside its target and worker.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the VM's name, which is also the process's
 * @param site the site, which chooses the configuration overlay
 * @param zone the availability zone
 * @param rack the rack that the VM sits in
 * @param operatorsAddress where operators, metrics and events are served
 * @param processesAddress where entries connect
 * @param logService the log service's base address
 * @param target the target beside it, if there is one
 * @param worker the worker's base address, if there is one
 * @param entries entries to announce to at first; they tell of the others
 * @param peers operators' addresses to ask for the configuration while the log is down
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
