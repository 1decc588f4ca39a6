package io.marigoldsail.colocation;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Sums the evidence on pairs of images over all VMs of a fleet.
 *
 * <p>The sum is formed anew at intervals rather than with each report, of which there are many.
 *
 * <p>Beyond a total size, what was reported the longest ago is forgotten.
 *
 * <p>Confined to one thread. Rejects nulls. Times are monotonic nanoseconds.
 */
public final class PairEvidenceAggregator {
  /** Minimum time between two sums, in nanoseconds. */
  static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Maximum of the estimated memory of the evidence of all VMs, in bytes. */
  static final int MAX_BYTES = 8 << 20;

  /** A pair on one VM. */
  private record SeenPair(String vm, ImagePair pair) {
    int nameBytes() {
      return RecentEvidence.bytesOf(vm) + pair.nameBytes();
    }
  }

  private final RecentEvidence<SeenPair, PairEvidence> evidenceOfVms =
      RecentEvidence.inMemory(MAX_BYTES, SeenPair::nameBytes);
  private ImmutableMap<ImagePair, PairEvidence> total = ImmutableMap.of();
  private long summedAt = Long.MIN_VALUE;

  /**
   * Replaces the evidence of a VM on the given pairs and keeps the rest; returns whether the total
   * was formed anew.
   */
  public boolean update(String vm, Map<ImagePair, PairEvidence> evidence, long now) {
    requireNonNull(vm, "vm");
    evidence.forEach((pair, seen) -> evidenceOfVms.put(new SeenPair(vm, pair), seen));
    if (summedAt != Long.MIN_VALUE && now - summedAt < INTERVAL_NANOS) {
      return false;
    }
    summedAt = now;
    Map<ImagePair, PairEvidence> sum = new HashMap<>();
    evidenceOfVms.forEach((key, seen) -> sum.merge(key.pair(), seen, PairEvidence::plus));
    total = ImmutableMap.copyOf(sum);
    return true;
  }

  /** Returns the sum over all VMs as of the last time that it was formed. */
  public ImmutableMap<ImagePair, PairEvidence> total() {
    return total;
  }
}
