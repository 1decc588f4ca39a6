package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.primitives.Ints;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.time.ClockReading;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Sends leases to side processes, each with the orders pending for it, and remembers when.
 *
 * <p>A lease is the evidence of ownership of each partition that this entry owns. A lease without
 * the evidence of some partition is sent again once that evidence is renewed; a VM ignores orders
 * for partitions without evidence. Confined to the loop's thread.
 */
final class LeaseGranter {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Assumed maximum by which a worker's clock runs slower than the local one, in percent. */
  private static final long DRIFT_PERCENT = 3;

  private final LinkLoop loop;
  private final PartitionOwnership ownership;
  private final CapacityDemand demand;
  private final KnownEvacuations evacuations;
  private final Map<String, Long> grantedAt = new HashMap<>();
  private final Set<VmSession> incomplete = new LinkedHashSet<>();
  private final Set<OwnedPartition> renewing = new HashSet<>();

  LeaseGranter(
      LinkLoop loop,
      PartitionOwnership ownership,
      CapacityDemand demand,
      KnownEvacuations evacuations) {
    this.loop = requireNonNull(loop, "loop");
    this.ownership = requireNonNull(ownership, "ownership");
    this.demand = requireNonNull(demand, "demand");
    this.evacuations = requireNonNull(evacuations, "evacuations");
  }

  /** Sends a lease and the pending orders. */
  void grant(VmSession session) {
    grant(session, LeaseGrant.getDefaultInstance());
  }

  /** Sends a lease with more evidence, and the pending orders. */
  void grant(VmSession session, LeaseGrant evidence) {
    session.flush(
        lease(session).build(), evidence, evacuations.newest(), demand.isPresent(loop.now()));
  }

  /** Sends the pending questions, which contain no lease; no orders may be pending. */
  void ask(VmSession session) {
    session.sendQuestions(demand.isPresent(loop.now()));
  }

  /** Returns when a lease was last sent to the VM, or {@link Long#MIN_VALUE} if never. */
  long grantedAt(String vm) {
    return grantedAt.getOrDefault(vm, Long.MIN_VALUE);
  }

  private LeaseGrant.Builder lease(VmSession session) {
    LeaseGrant.Builder lease =
        LeaseGrant.newBuilder().setWorkerClock(session.report().getWorkerClock());
    ClockReading now = ownership.readClocks();
    for (OwnedPartition partition : ownership.active()) {
      OptionalLong age = partition.writer().evidenceAgeNanos(now);
      if (age.isEmpty()) {
        grantAfterRenewal(session, partition);
      } else {
        long afterReport = now.steadyNanos() - age.getAsLong() - session.reportedAt();
        lease.addEvidence(evidence(partition.number(), partition.epoch(), afterReport));
      }
    }
    if (session.place().isPresent()) {
      grantedAt.put(session.vm(), loop.now());
    }
    return lease;
  }

  private void grantAfterRenewal(VmSession session, OwnedPartition partition) {
    incomplete.add(session);
    renewing.removeIf(each -> !each.isActive());
    if (renewing.add(partition)) {
      partition.writer().afterRenewal(() -> handleRenewed(partition));
    }
  }

  private void handleRenewed(OwnedPartition partition) {
    renewing.remove(partition);
    List<VmSession> again = List.copyOf(incomplete);
    incomplete.clear();
    again.stream().filter(session -> session.connection().isOpen()).forEach(this::grant);
  }

  /**
   * Returns evidence that the partition was owned under the epoch.
   *
   * @param afterReportNanos time from the report to the evidence, in nanoseconds; negative if the
   *     evidence is older
   */
  static PartitionEvidence evidence(int partition, long epoch, long afterReportNanos) {
    // The worker's clock may have advanced by less than this one since the report.
    long drift = Math.max(0, afterReportNanos) * DRIFT_PERCENT / 100;
    // The field has 32 bits, and the evidence of an idle partition may be older than that.
    int afterReportMillis =
        Ints.saturatedCast(Math.floorDiv(afterReportNanos - drift, NANOS_PER_MILLI));
    return PartitionEvidence.newBuilder()
        .setPartition(partition)
        .setEpoch(epoch)
        .setAfterReportMillis(afterReportMillis)
        .build();
  }
}
