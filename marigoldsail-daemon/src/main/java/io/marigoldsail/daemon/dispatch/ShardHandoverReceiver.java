package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.idempotency.IdempotencyKeyStore.CompletedKey;
import io.marigoldsail.protocol.HandedKey;
import io.marigoldsail.protocol.HandedShard;
import io.marigoldsail.protocol.KeyHandover;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Collects the keys of shards that other side processes hand over.
 *
 * <p>A shard is complete once as many distinct keys as it has were received. Lost, duplicate or
 * reordered frames therefore neither make it appear complete nor corrupt it. Confined to the loop's
 * thread; times are nanoseconds of one monotonic clock.
 */
final class ShardHandoverReceiver {
  /** After this time the sender has exited, and the missing keys are not sent any more. */
  private static final long PARTIAL_SHARD_TTL_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Limits of all incomplete shards together. */
  private static final int MAX_PENDING_KEYS = 20_000;

  private static final long MAX_PENDING_BYTES = 8L * 1024 * 1024;

  private static final class PartialShard {
    private final long expiresAt;
    private final Map<String, CompletedKey<TargetOutcome>> keys = new HashMap<>();
    private long bytes;

    PartialShard(long expiresAt) {
      this.expiresAt = expiresAt;
    }
  }

  private final Map<HandedShard, PartialShard> partialShards = new HashMap<>();

  ShardHandoverReceiver() {}

  /** Adds a frame; returns all keys of its shard, or empty while some are missing. */
  Optional<List<CompletedKey<TargetOutcome>>> add(KeyHandover frame, long now) {
    PartialShard partialShard =
        partialShards.computeIfAbsent(
            frame.getShard(), shard -> new PartialShard(now + PARTIAL_SHARD_TTL_NANOS));
    for (HandedKey key : frame.getKeysList()) {
      if (partialShard.keys.put(key.getKey(), HandoverFrames.decode(key, now)) == null) {
        partialShard.bytes += key.getSerializedSize();
      }
    }
    if (partialShard.keys.size() < frame.getTotal()) {
      return Optional.empty();
    }
    partialShards.remove(frame.getShard());
    return Optional.of(List.copyOf(partialShard.keys.values()));
  }

  /** Drops the keys received of the shard. */
  void discard(HandedShard shard) {
    partialShards.remove(shard);
  }

  /** Returns whether the incomplete shards exceed the limits. */
  boolean isFull() {
    long keys =
        partialShards.values().stream().mapToLong(partialShard -> partialShard.keys.size()).sum();
    long bytes =
        partialShards.values().stream().mapToLong(partialShard -> partialShard.bytes).sum();
    return keys > MAX_PENDING_KEYS || bytes > MAX_PENDING_BYTES;
  }

  /** Drops incomplete shards that have expired. */
  void expire(long now) {
    partialShards.values().removeIf(partialShard -> partialShard.expiresAt - now <= 0);
  }
}
