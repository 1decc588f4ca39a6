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
final class KeyTaker {
  /** What waits for the rest of its shard longer than this never gets it: its giver has ended. */
  private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** What may wait for the rest of its shard, in keys and in bytes of them, all together. */
  private static final int MAX_KEYS = 20_000;

  private static final long MAX_BYTES = 8L * 1024 * 1024;

  private static final class Part {
    private final long dropAt;
    private final Map<String, CompletedKey<TargetOutcome>> keys = new HashMap<>();
    private long bytes;

    Part(long dropAt) {
      this.dropAt = dropAt;
    }
  }

  private final Map<HandedShard, Part> parts = new HashMap<>();

  KeyTaker() {}

  /** Returns all keys of the frame's shard if it is whole now, or empty while some are missing. */
  Optional<List<CompletedKey<TargetOutcome>>> add(KeyHandover frame, long now) {
    Part part = parts.computeIfAbsent(frame.getShard(), shard -> new Part(now + KEEP_NANOS));
    for (HandedKey key : frame.getKeysList()) {
      if (part.keys.put(key.getKey(), HandoverFrames.read(key, now)) == null) {
        part.bytes += key.getSerializedSize();
      }
    }
    if (part.keys.size() < frame.getTotal()) {
      return Optional.empty();
    }
    parts.remove(frame.getShard());
    return Optional.of(List.copyOf(part.keys.values()));
  }

  /** Drops what waits for the rest of the shard. */
  void drop(HandedShard shard) {
    parts.remove(shard);
  }

  /** Returns whether more waits for the rest of its shard than there is room for. */
  boolean isFull() {
    long keys = parts.values().stream().mapToLong(part -> part.keys.size()).sum();
    long bytes = parts.values().stream().mapToLong(part -> part.bytes).sum();
    return keys > MAX_KEYS || bytes > MAX_BYTES;
  }

  /** Drops what has waited too long. */
  void expire(long now) {
    parts.values().removeIf(part -> part.dropAt - now <= 0);
  }
}
