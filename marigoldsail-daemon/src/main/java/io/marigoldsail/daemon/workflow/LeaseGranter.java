package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.protocol.ImageSeen;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sends leases to side processes, each with the orders pending for it, and remembers when.
 *
 * <p>A lease is the evidence of ownership of each partition that this entry owns. Confined to the
 * loop's thread.
 */
final class LeaseGranter {
  private final LinkLoop loop;
  private final PartitionOwnership ownership;
  private final CapacityDemand demand;
  private final Map<String, Long> grantedAt = new HashMap<>();

  LeaseGranter(LinkLoop loop, PartitionOwnership ownership, CapacityDemand demand) {
    this.loop = requireNonNull(loop, "loop");
    this.ownership = requireNonNull(ownership, "ownership");
    this.demand = requireNonNull(demand, "demand");
  }

  /** Sends a lease and the pending orders. */
  void grant(VmSession session) {
    flush(session, lease(session));
  }

  /** Sends a lease, the evidence on images of the other VMs, and the pending orders. */
  void grantWithImages(VmSession session, List<ImageSeen> images) {
    flush(session, lease(session).addAllImages(images));
  }

  /** Sends the pending questions, which contain no lease; no orders may be pending. */
  void ask(VmSession session) {
    session.sendQuestions(demand.isPresent(loop.now()));
  }

  /** Returns when a lease was last sent to the VM, or {@link Long#MIN_VALUE} if never. */
  long grantedAt(String vm) {
    return grantedAt.getOrDefault(vm, Long.MIN_VALUE);
  }

  private void flush(VmSession session, LeaseGrant.Builder lease) {
    session.flush(lease.build(), demand.isPresent(loop.now()));
  }

  private LeaseGrant.Builder lease(VmSession session) {
    LeaseGrant.Builder lease =
        LeaseGrant.newBuilder().setWorkerClock(session.report().getWorkerClock());
    for (OwnedPartition partition : ownership.active()) {
      if (partition.writer().hasEvidence()) {
        long after = partition.writer().evidenceAt() - session.reportedAt();
        lease.addEvidence(
            PartitionEvidence.newBuilder()
                .setPartition(partition.number())
                .setEpoch(partition.epoch())
                .setAfterReportMillis((int) Math.floorDiv(after, 1_000_000L)));
      }
    }
    if (session.place().isPresent()) {
      grantedAt.put(session.vm(), loop.now());
    }
    return lease;
  }
}
