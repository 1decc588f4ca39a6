package io.marigoldsail.settings;

import java.net.URI;
import java.util.List;

/**
 * What every process is told on start, whatever its role.
 *
 * <p>Implementations are immutable.
 */
public sealed interface ProcessSettings permits EntrySettings, SideSettings {
  /** Returns the process's name, unique among all processes. */
  String name();

  /** Returns the site, which chooses the configuration overlay. */
  String site();

  /** Returns the availability zone. */
  String zone();

  /** Returns where operators, metrics and events are served. */
  HostPort operatorsAddress();

  /** Returns where other processes of the system are served. */
  HostPort processesAddress();

  /** Returns the log service's base address. */
  URI logService();

  /** Returns the operators' addresses to ask for the configuration while the log is down. */
  List<HostPort> peers();

  /** Returns the role as settings write it. */
  String role();
}
