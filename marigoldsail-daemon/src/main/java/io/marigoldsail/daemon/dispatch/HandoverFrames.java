package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.FrameStream;
import io.marigoldsail.idempotency.IdempotencyKeyStore.CompletedKey;
import io.marigoldsail.idempotency.KeyTimeouts;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.HandedKey;
import io.marigoldsail.protocol.HandedShard;
import io.marigoldsail.protocol.KeptAnswer;
import io.marigoldsail.protocol.KeyHandover;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The frames of shards that are handed over: one or more per shard, each with a chunk of keys. */
final class HandoverFrames implements FrameStream {
  /** A shard with its final keys. */
  record Shard(HandedShard shardId, List<CompletedKey<TargetOutcome>> keys) {}

  private final ArrayDeque<Shard> remaining;
  private final long now;
  private Iterator<CompletedKey<TargetOutcome>> keys;

  /**
   * Creates the frames.
   *
   * @param shards the shards, at least one
   * @param now the time on the clock by which keys expire
   */
  HandoverFrames(List<Shard> shards, long now) {
    checkArgument(!shards.isEmpty(), "no shards");
    this.remaining = new ArrayDeque<>(shards);
    this.now = now;
    this.keys = remaining.peek().keys().iterator();
  }

  @Override
  public boolean hasNext() {
    return !remaining.isEmpty();
  }

  @Override
  public Frame next() {
    Shard shard = remaining.peek();
    if (shard == null) {
      throw new NoSuchElementException();
    }
    KeyHandover.Builder frame =
        KeyHandover.newBuilder().setShard(shard.shardId()).setTotal(shard.keys().size());
    int bytes = 0;
    while (keys.hasNext() && bytes < BodyLimits.MAX_CHUNK_BYTES) {
      HandedKey key = encode(keys.next(), now);
      bytes += key.getSerializedSize();
      frame.addKeys(key);
    }
    if (!keys.hasNext()) {
      remaining.poll();
      keys = remaining.isEmpty() ? keys : remaining.peek().keys().iterator();
    }
    return Frame.newBuilder().setKeyHandover(frame).build();
  }

  @Override
  public void ended() {
    remaining.clear();
  }

  private static HandedKey encode(CompletedKey<TargetOutcome> completedKey, long now) {
    HandedKey.Builder key =
        HandedKey.newBuilder()
            .setKey(completedKey.key())
            .setFingerprint(completedKey.fingerprint())
            .setRemainingMillis(
                TimeUnit.NANOSECONDS.toMillis(Math.max(0, completedKey.expiresAt() - now)) + 1);
    TargetOutcome outcome = completedKey.outcome().orElse(null);
    if (outcome instanceof TargetOutcome.NoResponse missing) {
      key.setLost(missing.detail());
    } else if (outcome instanceof TargetOutcome.InvalidResponse invalid) {
      key.setBroken(invalid.detail());
    } else if (outcome instanceof TargetOutcome.Responded responded) {
      KeptAnswer response =
          KeptAnswer.newBuilder()
              .setStatus(responded.status())
              .addAllHeaders(responded.headers())
              .setBody(responded.body())
              .build();
      // A longer response would exceed the frame limit. The key alone says that its request ran,
      // which prevents another run.
      if (response.getSerializedSize() <= BodyLimits.MAX_CHUNK_BYTES) {
        key.setAnswered(response);
      }
    }
    return key.build();
  }

  /** Decodes a key; its time in transit extends the time until it expires. */
  static CompletedKey<TargetOutcome> decode(HandedKey key, long now) {
    long remaining = TimeUnit.MILLISECONDS.toNanos(key.getRemainingMillis());
    long expiresAt = now + Math.min(remaining, KeyTimeouts.OUTCOME_RETENTION_NANOS);
    Optional<TargetOutcome> outcome =
        switch (key.getOutcomeCase()) {
          case ANSWERED -> Optional.of(decodeResponse(key.getAnswered()));
          case LOST -> Optional.of(new TargetOutcome.NoResponse(key.getLost()));
          case BROKEN -> Optional.of(new TargetOutcome.InvalidResponse(key.getBroken()));
          case OUTCOME_NOT_SET -> Optional.empty();
        };
    ByteString body = key.getAnswered().getBody();
    return new CompletedKey<>(key.getKey(), key.getFingerprint(), outcome, body.size(), expiresAt);
  }

  private static TargetOutcome decodeResponse(KeptAnswer retained) {
    return new TargetOutcome.Responded(
        retained.getStatus(), retained.getHeadersList(), retained.getBody(), () -> {});
  }
}
