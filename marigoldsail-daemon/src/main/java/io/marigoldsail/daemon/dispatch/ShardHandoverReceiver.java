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
 * Puts the keys of a shard together that another side process gives away.
 *
 * <p>A shard is whole once as many different keys have come as it has, so that frames which are
 * lost, doubled or out of order neither make it look whole nor spoil it. Confined to the loop's
 * thread; times are nanoseconds of one monotonic clock.
 */
final class ShardHandoverReceiver {
  /** What waits for the rest of its shard longer than this never gets it: its giver has ended. */
  private static final long PARTIAL_SHARD_TTL_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** What may wait for the rest of its shard, in keys and in bytes of them, all together. */
  private static final int MAX_PENDING_KEYS = 20_000;

  private static final long MAX_PENDING_BYTES = 8L * 1024 * 1024;

  private static final class PartialShard {
    private final long expiresAt;
    private final Map<String, CompletedKey<TargetOutcome>> keys = new HashMap<>();
    private long bytes;

    PartialShard(long dropAt) {
      this.expiresAt = dropAt;
    }
  }

  private final Map<HandedShard, PartialShard> partialShards = new HashMap<>();

  ShardHandoverReceiver() {}

  /** Returns all keys of the frame's shard if it is whole now, or empty while some are missing. */
  Optional<List<CompletedKey<TargetOutcome>>> add(KeyHandover frame, long now) {
    PartialShard part =
        partialShards.computeIfAbsent(
            frame.getShard(), shard -> new PartialShard(now + PARTIAL_SHARD_TTL_NANOS));
    for (HandedKey key : frame.getKeysList()) {
      if (part.keys.put(key.getKey(), HandoverFrames.decode(key, now)) == null) {
        part.bytes += key.getSerializedSize();
      }
    }
    if (part.keys.size() < frame.getTotal()) {
      return Optional.empty();
    }
    partialShards.remove(frame.getShard());
    return Optional.of(List.copyOf(part.keys.values()));
  }

  /** Drops what waits for the rest of the shard. */
  void discard(HandedShard shard) {
    partialShards.remove(shard);
  }

  /** Returns whether more waits for the rest of its shard than there is room for. */
  boolean isFull() {
    long keys = partialShards.values().stream().mapToLong(part -> part.keys.size()).sum();
    long bytes = partialShards.values().stream().mapToLong(part -> part.bytes).sum();
    return keys > MAX_PENDING_KEYS || bytes > MAX_PENDING_BYTES;
  }

  /** Drops what has waited too long. */
  void expire(long now) {
    partialShards.values().removeIf(part -> part.expiresAt - now <= 0);
  }
}
