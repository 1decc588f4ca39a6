package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.idempotency.KeyStore.Ended;
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
final class KeyTaker {
  /** After this time the sender has exited, and the missing keys are not sent any more. */
  private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Limits of all incomplete shards together. */
  private static final int MAX_KEYS = 20_000;

  private static final long MAX_BYTES = 8L * 1024 * 1024;

  private static final class Part {
    private final long dropAt;
    private final Map<String, Ended<TargetOutcome>> keys = new HashMap<>();
    private long bytes;

    Part(long dropAt) {
      this.dropAt = dropAt;
    }
  }

  private final Map<HandedShard, Part> parts = new HashMap<>();

  KeyTaker() {}

  /** Adds a frame; returns all keys of its shard, or empty while some are missing. */
  Optional<List<Ended<TargetOutcome>>> add(KeyHandover frame, long now) {
    Part partialShard = parts.computeIfAbsent(frame.getShard(), shard -> new Part(now + KEEP_NANOS));
    for (HandedKey key : frame.getKeysList()) {
      if (partialShard.keys.put(key.getKey(), HandoverFrames.read(key, now)) == null) {
        partialShard.bytes += key.getSerializedSize();
      }
    }
    if (partialShard.keys.size() < frame.getTotal()) {
      return Optional.empty();
    }
    parts.remove(frame.getShard());
    return Optional.of(List.copyOf(partialShard.keys.values()));
  }

  /** Drops the keys received of the shard. */
  void drop(HandedShard shard) {
    parts.remove(shard);
  }

  /** Returns whether the incomplete shards exceed the limits. */
  boolean isFull() {
    long keys = parts.values().stream().mapToLong(partialShard -> partialShard.keys.size()).sum();
    long bytes = parts.values().stream().mapToLong(partialShard -> partialShard.bytes).sum();
    return keys > MAX_KEYS || bytes > MAX_BYTES;
  }

  /** Drops incomplete shards that have expired. */
  void expire(long now) {
    parts.values().removeIf(partialShard -> partialShard.dropAt - now <= 0);
  }
}
