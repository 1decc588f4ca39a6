package io.marigoldsail.settings;

import java.net.URI;
import java.util.List;

/**
 * Settings common to all processes, whatever their role.
 *
 * <p>Implementations are immutable.
 */
public sealed interface ProcessSettings permits EntrySettings, SideSettings {
  /** Returns the process's name, unique among all processes. */
  String name();

  /** Returns the site, which selects the configuration overlay. */
  String site();

  /** Returns the availability zone. */
  String zone();

  /** Returns the listening address for operators, metrics and events. */
  HostPort operatorsAddress();

  /** Returns the listening address for other processes of the system. */
  HostPort processesAddress();

  /** Returns the log service's base URI. */
  URI logService();

  /**
   * Returns operators' addresses of processes that provide the configuration during a log outage.
   */
  List<HostPort> peers();

  /** Returns the role's name in a settings file. */
  String role();
}
