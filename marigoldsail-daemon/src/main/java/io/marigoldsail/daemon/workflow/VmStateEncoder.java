package io.marigoldsail.daemon.workflow;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.VmReport;

/** Encodes the state of a VM's worker that is reported to all entries alike. Stateless. */
final class VmStateEncoder {
  private VmStateEncoder() {}

  /** Sets the fields that are equal for all entries, but not the clock, images, runs and ends. */
  static void encode(WorkerSession session, VmReport.Builder state) {
    WorkerHeartbeat heartbeat = session.heartbeat();
    Sizes capacity = heartbeat.capacity();
    Sizes free = session.resources().free();
    state
        .setWorker(session.worker())
        .setService(heartbeat.service())
        .setZone(heartbeat.zone())
        .addAllLabels(heartbeat.labels())
        .setRack(heartbeat.rack())
        .setDraining(heartbeat.draining())
        .setUnhealthy(session.isUnhealthy())
        .setMilliProcessors((int) capacity.milliProcessors())
        .setMemoryMebibytes(WorkflowCodec.mebibytes(capacity))
        .setAccelerators((int) capacity.accelerators())
        .setFreeMilliProcessors((int) free.milliProcessors())
        .setFreeMemoryMebibytes(WorkflowCodec.mebibytes(free))
        .setFreeAccelerators((int) free.accelerators())
        .setFillMilliProcessors((int) session.resources().bestEffortMilliProcessors())
        .setSuspectMilliProcessors(
            (int) session.throttler().interferingMilliProcessors(session.runs()))
        .setOvercommitMilliProcessors((int) session.resources().overcommitMilliProcessors())
        .addAllServiceRooms(PairEvidenceCodec.encodeRooms(session.throttler().rooms()))
        .setFillPercent(session.throttler().interferingPercent())
        .setServing(session.serviceTaskCount());
  }
}
