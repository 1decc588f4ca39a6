package io.marigoldsail.daemon.workflow;

import io.marigoldsail.protocol.VmReport;
import java.util.concurrent.TimeUnit;

/** Whether a connected VM may be given work, or what forbids that. */
enum VmStanding {
  /** It may be given work. */
  OFFERED("offered"),
  /** Its last report is too old. */
  SILENT("silent"),
  /** Its side process knows no worker. */
  NO_WORKER("no worker"),
  /** Its worker takes nothing new. */
  LEAVES("leaves"),
  /** Its worker leaves calls unanswered or refuses them, or runs what other owners must size. */
  UNHEALTHY("unhealthy"),
  /** It runs what only the owners know the size of. */
  UNKNOWN_SIZES("runs of unknown size"),
  /** What it starts fails. */
  RESTS("rests");

  /** A VM that was silent for this long gets no new work, in nanoseconds: three reports missed. */
  static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final String text;

  VmStanding(String text) {
    this.text = text;
  }

  /** Returns how the VM stands at a time in the loop's nanoseconds. */
  static VmStanding of(VmSession session, FleetKnowledge knowledge, long now) {
    VmReport report = session.report();
    if (now - session.reportedAt() >= SILENT_NANOS) {
      return SILENT;
    }
    if (report.getWorker().isEmpty()) {
      return NO_WORKER;
    }
    if (report.getDraining()) {
      return LEAVES;
    }
    if (session.hasRunsOfUnknownSize()) {
      return UNKNOWN_SIZES;
    }
    if (report.getUnhealthy()) {
      return UNHEALTHY;
    }
    return knowledge.rests(session.vm(), now) ? RESTS : OFFERED;
  }

  /** Returns the words for logs. */
  @Override
  public String toString() {
    return text;
  }
}
