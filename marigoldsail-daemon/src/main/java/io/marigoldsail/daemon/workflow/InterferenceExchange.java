package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.frames.PendingOrders;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.VmReport;
import java.util.concurrent.TimeUnit;

/**
 * Collects what VMs observe of the interference of images, and passes the sums on to them.
 *
 * <p>Each entry does so by itself; a VM that hears of no entry decides by its own observations.
 * Confined to the loop's thread. Times are monotonic nanoseconds.
 */
final class InterferenceExchange {
  /**
   * Interval of the evidence on pairs of images to a VM, which all entries send, in nanoseconds.
   */
  private static final long PAIRS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Maximum size of the evidence in a lease, in bytes; the rest is that of partitions. */
  static final int MAX_EVIDENCE_BYTES = PendingOrders.MAX_LEASE_BYTES * 3 / 5;

  private final FleetStatistics fleet;
  private final MemberRateLimiter pairGrants = new MemberRateLimiter(PAIRS_INTERVAL_NANOS);

  InterferenceExchange(FleetStatistics fleet) {
    this.fleet = requireNonNull(fleet, "fleet");
  }

  /** Records the evidence in a report that asks for a lease. */
  void record(VmReport report, long now) {
    if (report.getImagesCount() > 0) {
      fleet.recordImageEvidence(report.getVm(), ImageEvidenceCodec.decode(report.getImagesList()));
    }
    if (report.getPairsCount() > 0) {
      fleet.recordPairEvidence(
          report.getVm(), PairEvidenceCodec.decode(report.getPairsList()), now);
    }
  }

  /** Returns a lease without ownership evidence that holds what is to be sent to the VM now. */
  LeaseGrant evidenceFor(VmSession session, long now) {
    LeaseGrant.Builder evidence = LeaseGrant.newBuilder();
    if (!session.reportsRooms() && session.areImagesDue(now)) {
      evidence.addAllImages(
          ImageEvidenceCodec.encode(
              fleet.imageEvidenceOfOtherVms(session.vm()), MAX_EVIDENCE_BYTES));
    }
    if (session.reportsRooms() && pairGrants.tryAcquire(session.vm(), now)) {
      evidence.addAllPairs(
          PairEvidenceCodec.encode(
              fleet.pairEvidence(), session::hostsService, MAX_EVIDENCE_BYTES));
    }
    return evidence.build();
  }
}
