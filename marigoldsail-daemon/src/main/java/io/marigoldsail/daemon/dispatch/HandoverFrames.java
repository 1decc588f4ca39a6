package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.FrameStream;
import io.marigoldsail.idempotency.KeyStore.Ended;
import io.marigoldsail.idempotency.KeyTerms;
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

/** The frames of shards that are handed over: chunks of one shard each, at least one a shard. */
final class HandoverFrames implements FrameStream {
  /** A shard with its final keys. */
  record Shard(HandedShard handed, List<Ended<TargetOutcome>> keys) {}

  private final ArrayDeque<Shard> rest;
  private final long now;
  private Iterator<Ended<TargetOutcome>> keys;

  /**
   * Creates the frames.
   *
   * @param shards the shards, at least one
   * @param now the time on the clock by which keys expire
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

  private static HandedKey write(Ended<TargetOutcome> ended, long now) {
    HandedKey.Builder key =
        HandedKey.newBuilder()
            .setKey(ended.key())
            .setFingerprint(ended.fingerprint())
            .setRemainingMillis(
                TimeUnit.NANOSECONDS.toMillis(Math.max(0, ended.forgetAt() - now)) + 1);
    TargetOutcome outcome = ended.outcome().orElse(null);
    if (outcome instanceof TargetOutcome.Lost missing) {
      key.setLost(missing.detail());
    } else if (outcome instanceof TargetOutcome.BrokenAnswer invalid) {
      key.setBroken(invalid.detail());
    } else if (outcome instanceof TargetOutcome.Answered responded) {
      KeptAnswer response =
          KeptAnswer.newBuilder()
              .setStatus(responded.status())
              .addAllHeaders(responded.headers())
              .setBody(responded.body())
              .build();
      // A longer response would exceed the frame limit. The key alone says that its request ran,
      // which prevents another run.
      if (response.getSerializedSize() <= Bodies.CHUNK_BYTES) {
        key.setAnswered(response);
      }
    }
    return key.build();
  }

  /** Decodes a key; its time in transit extends the time until it expires. */
  static Ended<TargetOutcome> read(HandedKey key, long now) {
    long remaining = TimeUnit.MILLISECONDS.toNanos(key.getRemainingMillis());
    long forgetAt = now + Math.min(remaining, KeyTerms.WINDOW_NANOS);
    Optional<TargetOutcome> outcome =
        switch (key.getOutcomeCase()) {
          case ANSWERED -> Optional.of(answer(key.getAnswered()));
          case LOST -> Optional.of(new TargetOutcome.Lost(key.getLost()));
          case BROKEN -> Optional.of(new TargetOutcome.BrokenAnswer(key.getBroken()));
          case OUTCOME_NOT_SET -> Optional.empty();
        };
    ByteString body = key.getAnswered().getBody();
    return new Ended<>(key.getKey(), key.getFingerprint(), outcome, body.size(), forgetAt);
  }

  private static TargetOutcome answer(KeptAnswer retained) {
    return new TargetOutcome.Answered(
        retained.getStatus(), retained.getHeadersList(), retained.getBody(), () -> {});
  }
}
