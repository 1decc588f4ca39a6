package io.marigoldsail.idempotency;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import io.marigoldsail.log.Position;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The shards that this side process holds, and until when, by evidence that entries bring.
 *
 * <p>An entry vouches for a claim as of the moment before it sent a heartbeat that it then read
 * back from the log with the claim still in force. So once a revocation stands in the log no
 * evidence is younger than it, and this process, paused or cut off, stops by its own clock before a
 * successor begins. Confined to one thread; times are nanoseconds of one monotonic clock.
 */
public final class ShardLeases {
  private record Lease(Position claim, long validUntil, long servesFrom) {}

  private final Map<Integer, Lease> leases = new HashMap<>();

  /** Creates a process's leases: none. */
  public ShardLeases() {}

  /**
   * Takes evidence.
   *
   * @param shard the shard
   * @param claim the claim by which this process holds it
   * @param vouchedAt as of when the claim held, on this process's clock
   * @param quietUntil until when a predecessor's keys may matter; of several entries' words the
   *     earliest counts, since each by itself is safe
   */
  public void confirmed(int shard, Position claim, long vouchedAt, long quietUntil) {
    Lease known = leases.get(shard);
    if (known != null && known.claim().compareTo(claim) > 0) {
      return;
    }
    long validUntil = vouchedAt + KeyTimeouts.LEASE_NANOS;
    long quiet = quietUntil;
    if (known != null && known.claim().equals(claim)) {
      validUntil = later(known.validUntil(), validUntil);
      quiet = known.servesFrom() - quiet <= 0 ? known.servesFrom() : quiet;
    }
    leases.put(shard, new Lease(claim, validUntil, quiet));
  }

  /**
   * Returns when keys of the shard may run here under the claim: now or earlier where they may,
   * later while a predecessor's may matter, or empty where this process does not hold it by this
   * claim, for all it knows.
   */
  public OptionalLong servesFrom(int shard, Position claim, long now) {
    Lease lease = leases.get(shard);
    if (lease == null || !lease.claim().equals(claim) || lease.validUntil() - now <= 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(lease.servesFrom());
  }

  /** Returns the latest claim by which this process is known to have held each shard. */
  public Map<Integer, Position> claims() {
    return Maps.transformValues(ImmutableMap.copyOf(leases), Lease::claim);
  }

  /** Returns whether this process is known to have held the shard by a claim after the given. */
  public boolean hasLaterClaim(int shard, Position claim) {
    Lease lease = leases.get(shard);
    return lease != null && lease.claim().compareTo(claim) > 0;
  }

  private static long later(long left, long right) {
    return left - right >= 0 ? left : right;
  }
}
