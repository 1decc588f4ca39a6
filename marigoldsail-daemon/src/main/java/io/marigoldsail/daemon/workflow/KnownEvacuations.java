package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.ZoneEvacuations;

/**
 * The newest evacuations of zones that a process has learned of, from the operator's records or
 * from other processes, in any order. Updated on one thread; may be read on any.
 */
final class KnownEvacuations {
  private static final EventLog LOG = EventLog.of(KnownEvacuations.class);

  private volatile ZoneEvacuations newest = ZoneEvacuations.none();

  /** Returns the newest evacuations. */
  ZoneEvacuations newest() {
    return newest;
  }

  /** Returns whether no run may start in the zone. */
  boolean includes(String zone) {
    return newest.includes(zone);
  }

  /**
   * Keeps the received evacuations if they are newer.
   *
   * @param source where they were received from, for the log
   * @return whether the set of evacuated zones has changed
   */
  boolean update(ZoneEvacuations received, String source) {
    if (!received.replaces(newest)) {
      return false;
    }
    boolean changed = !received.zones().equals(newest.zones());
    newest = received;
    if (changed) {
      LOG.info(
          LogLine.of("evacuations-in-force")
              .with("revision", received.revision())
              .with("zones", received.zones())
              .with("source", source));
    }
    return changed;
  }
}
