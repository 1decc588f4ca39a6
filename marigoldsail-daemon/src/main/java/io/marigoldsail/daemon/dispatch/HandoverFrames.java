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

/** Shards of keys as frames, a chunk of a shard in each; a shard without keys is one frame, too. */
final class HandoverFrames implements FrameStream {
  /** A shard with its keys, which change no more. */
  record Shard(HandedShard handed, List<CompletedKey<TargetOutcome>> keys) {}

  private final ArrayDeque<Shard> rest;
  private final long now;
  private Iterator<CompletedKey<TargetOutcome>> keys;

  /**
   * Creates the frames.
   *
   * @param shards the shards, at least one
   * @param now the time, on the clock by which keys are forgotten
   */
  HandoverFrames(List<Shard> shards, long now) {
    checkArgument(!shards.isEmpty(), "no shards");
    this.rest = new ArrayDeque<>(shards);
    this.now = now;
    this.keys = rest.peek().keys().iterator();
  }

  @Override
  public boolean hasNext() {
    return !rest.isEmpty();
  }

  @Override
  public Frame next() {
    Shard shard = rest.peek();
    if (shard == null) {
      throw new NoSuchElementException();
    }
    KeyHandover.Builder frame =
        KeyHandover.newBuilder().setShard(shard.handed()).setTotal(shard.keys().size());
    int bytes = 0;
    while (keys.hasNext() && bytes < Bodies.CHUNK_BYTES) {
      HandedKey key = write(keys.next(), now);
      bytes += key.getSerializedSize();
      frame.addKeys(key);
    }
    if (!keys.hasNext()) {
      rest.poll();
      keys = rest.isEmpty() ? keys : rest.peek().keys().iterator();
    }
    return Frame.newBuilder().setKeyHandover(frame).build();
  }

  @Override
  public void ended() {
    rest.clear();
  }

  private static HandedKey write(CompletedKey<TargetOutcome> ended, long now) {
    HandedKey.Builder key =
        HandedKey.newBuilder()
            .setKey(ended.key())
            .setFingerprint(ended.fingerprint())
            .setRemainingMillis(
                TimeUnit.NANOSECONDS.toMillis(Math.max(0, ended.expiresAt() - now)) + 1);
    TargetOutcome outcome = ended.outcome().orElse(null);
    if (outcome instanceof TargetOutcome.Lost lost) {
      key.setLost(lost.detail());
    } else if (outcome instanceof TargetOutcome.BrokenAnswer broken) {
      key.setBroken(broken.detail());
    } else if (outcome instanceof TargetOutcome.Answered answered) {
      KeptAnswer answer =
          KeptAnswer.newBuilder()
              .setStatus(answered.status())
              .addAllHeaders(answered.headers())
              .setBody(answered.body())
              .build();
      // A longer one would outgrow a frame; its key says that its request ran, which is enough for
      // it not to run again.
      if (answer.getSerializedSize() <= Bodies.CHUNK_BYTES) {
        key.setAnswered(answer);
      }
    }
    return key.build();
  }

  /** Returns a key as it was handed over; the time that it was on its way lengthens its memory. */
  static CompletedKey<TargetOutcome> read(HandedKey key, long now) {
    long remaining = TimeUnit.MILLISECONDS.toNanos(key.getRemainingMillis());
    long forgetAt = now + Math.min(remaining, KeyTimeouts.OUTCOME_RETENTION_NANOS);
    Optional<TargetOutcome> outcome =
        switch (key.getOutcomeCase()) {
          case ANSWERED -> Optional.of(answer(key.getAnswered()));
          case LOST -> Optional.of(new TargetOutcome.Lost(key.getLost()));
          case BROKEN -> Optional.of(new TargetOutcome.BrokenAnswer(key.getBroken()));
          case OUTCOME_NOT_SET -> Optional.empty();
        };
    ByteString body = key.getAnswered().getBody();
    return new CompletedKey<>(key.getKey(), key.getFingerprint(), outcome, body.size(), forgetAt);
  }

  private static TargetOutcome answer(KeptAnswer kept) {
    return new TargetOutcome.Answered(
        kept.getStatus(), kept.getHeadersList(), kept.getBody(), () -> {});
  }
}
