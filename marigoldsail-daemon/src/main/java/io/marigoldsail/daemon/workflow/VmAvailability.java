package io.marigoldsail.daemon.workflow;

import io.marigoldsail.protocol.VmReport;
import java.util.concurrent.TimeUnit;

/** Whether a connected VM may be given work, or what forbids that. */
enum VmAvailability {
  /** It may be given work. */
  OFFERED("offered"),
  /** Its last report is too old. */
  SILENT("silent"),
  /** Its side process knows no worker. */
  NO_WORKER("no worker"),
  /** Its worker takes nothing new. */
  DRAINING("leaves"),
  /** Its worker leaves calls unanswered or refuses them, or runs what other owners must size. */
  UNHEALTHY("unhealthy"),
  /** It runs what only the owners know the size of. */
  UNKNOWN_RESOURCES("runs of unknown size"),
  /** What it starts fails. */
  QUARANTINED("rests");

  /** A VM that was silent for this long gets no new work, in nanoseconds: three reports missed. */
  static final long UNRESPONSIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final String text;

  VmAvailability(String text) {
    this.text = text;
  }

  /** Returns how the VM stands at a time in the loop's nanoseconds. */
  static VmAvailability of(VmSession session, FleetStatistics knowledge, long now) {
    VmReport report = session.report();
    if (now - session.reportedAt() >= UNRESPONSIVE_NANOS) {
      return SILENT;
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
    return knowledge.isQuarantined(session.vm(), now) ? QUARANTINED : OFFERED;
  }

  /** Returns the words for logs. */
  @Override
  public String toString() {
    return text;
  }
}
