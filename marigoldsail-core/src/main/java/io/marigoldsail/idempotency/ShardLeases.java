package io.marigoldsail.idempotency;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import io.marigoldsail.log.Position;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The leases by which this side process owns shards, as confirmed by entries.
 *
 * <p>An entry confirms a claim as of the time before it sent a heartbeat, provided that the claim
 * is still in force when it reads the heartbeat back from the log. No confirmation is therefore
 * later than a revocation in the log, and this process, even if paused or cut off, stops by its own
 * clock before a successor starts. Confined to one thread; times are nanoseconds of one monotonic
 * clock.
 */
public final class ShardLeases {
  private record Lease(Position claim, long validUntil, long servesFrom) {}

  private final Map<Integer, Lease> leases = new HashMap<>();

  /** Creates an instance without leases. */
  public ShardLeases() {}

  /**
   * Renews a lease from an entry's confirmation. A confirmation of an earlier claim is ignored.
   *
   * @param shard number of the shard
   * @param claim the claim by which this process owns the shard
   * @param confirmedAt time at which the claim was in force, on this process's clock
   * @param servesFrom time from which keys of the shard may run; the earliest time of several
   *     entries is used, since each of them is safe
   */
  public void confirmed(int shard, Position claim, long confirmedAt, long servesFrom) {
    Lease lease = leases.get(shard);
    if (lease != null && lease.claim().compareTo(claim) > 0) {
      return;
    }
    long validUntil = confirmedAt + KeyTimeouts.LEASE_NANOS;
    long earliestServesFrom = servesFrom;
    if (lease != null && lease.claim().equals(claim)) {
      validUntil = later(lease.validUntil(), validUntil);
      earliestServesFrom =
          lease.servesFrom() - earliestServesFrom <= 0 ? lease.servesFrom() : earliestServesFrom;
    }
    leases.put(shard, new Lease(claim, validUntil, earliestServesFrom));
  }

  /**
   * Returns the time from which this process may run keys of the shard under the claim, or empty if
   * it holds no valid lease for this claim. The time is in the future during a takeover delay.
   */
  public OptionalLong servesFrom(int shard, Position claim, long now) {
    Lease lease = leases.get(shard);
    if (lease == null || !lease.claim().equals(claim) || lease.validUntil() - now <= 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(lease.servesFrom());
  }

  /** Returns the latest known claim of each shard that this process owns or has owned. */
  public Map<Integer, Position> claims() {
    return Maps.transformValues(ImmutableMap.copyOf(leases), Lease::claim);
  }

  /** Returns whether this process has a lease for the shard by a later claim than the given one. */
  public boolean hasLaterClaim(int shard, Position claim) {
    Lease lease = leases.get(shard);
    return lease != null && lease.claim().compareTo(claim) > 0;
  }

  private static long later(long left, long right) {
    return left - right >= 0 ? left : right;
  }
}
