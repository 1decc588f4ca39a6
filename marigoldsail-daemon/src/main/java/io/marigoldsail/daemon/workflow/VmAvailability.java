package io.marigoldsail.daemon.workflow;

import io.marigoldsail.protocol.VmReport;
import java.util.concurrent.TimeUnit;

/** Whether a connected VM may be given work, or why not. */
enum VmAvailability {
  /** It may be given work. */
  OFFERED("offered"),
  /** Its last report is at least {@link #UNRESPONSIVE_NANOS} old. */
  UNRESPONSIVE("silent"),
  /** Its side process has no worker. */
  NO_WORKER("no worker"),
  /** Its worker is draining. */
  DRAINING("leaves"),
  /**
   * Its worker does not respond to calls or refuses them, or has runs whose resource requests only
   * other owners know.
   */
  UNHEALTHY("unhealthy"),
  /** It has runs whose resource requests only their owners know. */
  UNKNOWN_RESOURCES("runs of unknown size"),
  /** It is quarantined because runs on it keep failing. */
  QUARANTINED("rests");

  /** Age of the last report from which a VM gets no work, in nanoseconds: three missed reports. */
  static final long UNRESPONSIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final String text;

  VmAvailability(String text) {
    this.text = text;
  }

  /** Returns the availability of the VM at a time in the loop's nanoseconds. */
  static VmAvailability of(VmSession session, FleetStatistics fleet, long now) {
    VmReport report = session.report();
    if (now - session.reportedAt() >= UNRESPONSIVE_NANOS) {
      return UNRESPONSIVE;
    }
    if (report.getWorker().isEmpty()) {
      return NO_WORKER;
    }
    if (report.getDraining()) {
      return DRAINING;
    }
    if (session.hasRunsOfUnknownSize()) {
      return UNKNOWN_RESOURCES;
    }
    if (report.getUnhealthy()) {
      return UNHEALTHY;
    }
    return fleet.isQuarantined(session.vm(), now) ? QUARANTINED : OFFERED;
  }

  /** Returns the text for logs. */
  @Override
  public String toString() {
    return text;
  }
}
