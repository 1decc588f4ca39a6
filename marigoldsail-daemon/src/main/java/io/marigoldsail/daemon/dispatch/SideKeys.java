package io.marigoldsail.daemon.dispatch;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.marigoldsail.daemon.dispatch.SideAnswers.Refusal;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.idempotency.IdempotencyKeyStore;
import io.marigoldsail.idempotency.IdempotencyKeyStore.Admission;
import io.marigoldsail.idempotency.ShardLeases;
import io.marigoldsail.log.Position;
import io.marigoldsail.protocol.HandedShard;
import io.marigoldsail.protocol.KeyClaim;
import io.marigoldsail.protocol.KeyHandover;
import io.marigoldsail.protocol.KeyLease;
import io.marigoldsail.protocol.KeyLeases;
import io.marigoldsail.protocol.RequestStart;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The part of a side process that makes it the home of idempotency keys: it runs each key once and
 * gives its outcome to all who ask.
 *
 * <p>Confined to the loop's thread.
 */
final class SideKeys {
  /** What came of a request that asked to run. */
  enum Turn {
    /** It is to be run. */
    RUN,
    /** It waits for the answer of the one that runs; it takes no slot. */
    JOINED,
    /** It has been answered. */
    ANSWERED
  }

  private static final int MAX_KEYS = 20_000;
  private static final long MAX_OUTCOME_BYTES = 3L * 1024 * 1024;
  private static final long SOON_MILLIS = 1_000;

  private final LinkLoop loop;
  private final long processIncarnation;
  private final SideAnswers answers;
  private final ShardLeases leases = new ShardLeases();
  private final KeyTaker taker = new KeyTaker();
  private final IdempotencyKeyStore<SideRequest, TargetOutcome> store =
      new IdempotencyKeyStore<>(MAX_KEYS, MAX_OUTCOME_BYTES);

  SideKeys(LinkLoop loop, long processIncarnation, SideAnswers answers) {
    this.loop = loop;
    this.processIncarnation = processIncarnation;
    this.answers = answers;
  }

  static boolean isKeyed(SideRequest request) {
    return request.start().hasKeyClaim() && !request.start().getIdempotencyKey().isEmpty();
  }

  /** Takes an entry's evidence that this process holds shards. */
  void vouched(KeyLeases evidence) {
    if (evidence.getProcessIncarnation() != processIncarnation) {
      return;
    }
    long now = loop.now();
    long vouchedAt = now - TimeUnit.MILLISECONDS.toNanos(evidence.getAgeMillis());
    for (KeyLease lease : evidence.getLeasesList()) {
      long quietUntil = now + TimeUnit.MILLISECONDS.toNanos(lease.getQuietMillis());
      leases.confirmed(
          lease.getClaim().getShard(), position(lease.getClaim()), vouchedAt, quietUntil);
    }
  }

  /** Decides about a keyed request whose body is whole; a joined one counts as started. */
  Turn admit(SideRequest request, Runnable joining) {
    Refusal unheld = unheld(request);
    if (unheld != null) {
      refuse(request, unheld);
      return Turn.ANSWERED;
    }
    String key = request.start().getIdempotencyKey();
    Admission<TargetOutcome> admission =
        store.admit(key, fingerprint(request), request, loop.now());
    if (admission instanceof Admission.Run) {
      return Turn.RUN;
    }
    if (admission instanceof Admission.Join) {
      joining.run();
      return Turn.JOINED;
    }
    if (admission instanceof Admission.Completed<TargetOutcome> ran) {
      joining.run();
      answers.give(
          request,
          ran.outcome()
              .orElse(new TargetOutcome.Lost("it ran before; its answer is not kept any more")));
    } else if (admission instanceof Admission.Conflict) {
      String detail = "the Idempotency-Key was used for another request";
      refuse(request, new Refusal(ErrorKind.CONFLICT, detail, 0));
    } else {
      String detail = "no room for another Idempotency-Key";
      refuse(request, new Refusal(ErrorKind.OVERLOADED, detail, SOON_MILLIS));
    }
    return Turn.ANSWERED;
  }

  /**
   * Returns why the request may not start here now, or null where it may.
   *
   * <p>Asked again right before the start: a request that waited for a slot, or a process that was
   * frozen, may have outlived its lease, and the successor may already run the same key. A target
   * that tells repeats apart by itself does not mind.
   */
  Refusal unheld(SideRequest request) {
    if (request.start().getTargetDetectsRepeats()) {
      return null;
    }
    KeyClaim claim = request.start().getKeyClaim();
    long now = loop.now();
    OptionalLong runsFrom = leases.servesFrom(claim.getShard(), position(claim), now);
    if (runsFrom.isEmpty()) {
      String detail = "this attempt was not run; the home of its Idempotency-Key is being changed";
      return new Refusal(ErrorKind.KEY_STATE_UNKNOWN, detail, SOON_MILLIS);
    }
    long quiet = runsFrom.getAsLong() - now;
    if (quiet <= 0) {
      return null;
    }
    String detail = "this attempt was not run; an earlier one may have been, at a former home";
    long retryAfter = TimeUnit.NANOSECONDS.toMillis(quiet) + 1;
    return new Refusal(ErrorKind.KEY_STATE_UNKNOWN, detail, retryAfter);
  }

  /** Notes the outcome of a request that ran; returns those who get it, too. */
  List<SideRequest> ran(SideRequest request, TargetOutcome outcome) {
    String key = request.start().getIdempotencyKey();
    if (outcome instanceof TargetOutcome.NeverSent) {
      return store.abort(key);
    }
    return store.complete(key, kept(outcome), bytes(outcome), loop.now());
  }

  /** Notes that a request that was to run did not; returns those who waited for it. */
  List<SideRequest> notRun(SideRequest request) {
    return store.abort(request.start().getIdempotencyKey());
  }

  /**
   * Returns the shards that this process holds, for all it knows, with their keys.
   *
   * <p>To be asked only when nothing with a key runs here or will again: else a key that runs later
   * is unknown to whom the shards are given.
   */
  List<HandoverFrames.Shard> shardsToGive() {
    long now = loop.now();
    List<HandoverFrames.Shard> shards = new ArrayList<>();
    leases
        .claims()
        .forEach(
            (shard, claim) -> {
              HandedShard handed =
                  HandedShard.newBuilder()
                      .setProcessIncarnation(processIncarnation)
                      .setClaim(
                          KeyClaim.newBuilder()
                              .setShard(shard)
                              .setOffset(claim.offset())
                              .setIndex(claim.index()))
                      .build();
              shards.add(new HandoverFrames.Shard(handed, store.completedKeys(shard, now)));
            });
    return shards;
  }

  /**
   * Takes keys that a stopping home gives to this process; returns whether it has the whole shard
   * or cannot take it, or empty while some of its keys are missing.
   *
   * @param frame some of a shard's keys
   * @param leaving whether this process is about to give its own away
   */
  Optional<Boolean> take(KeyHandover frame, boolean leaving) {
    HandedShard shard = frame.getShard();
    // A frame so late that this process has got the shard meanwhile tells of older runs than it
    // knows itself.
    boolean late = leases.hasLaterClaim(shard.getClaim().getShard(), position(shard.getClaim()));
    if (leaving || late || taker.isFull()) {
      taker.drop(shard);
      return Optional.of(false);
    }
    return taker.add(frame, loop.now()).map(keys -> store.importKeys(keys, loop.now()));
  }

  /** Drops parts of shards whose rest never came. */
  void expire() {
    taker.expire(loop.now());
  }

  /** Returns the outcome as it is given again: it holds nothing of the budget of bodies. */
  static TargetOutcome kept(TargetOutcome outcome) {
    if (outcome instanceof TargetOutcome.Answered answered) {
      return new TargetOutcome.Answered(
          answered.status(), answered.headers(), answered.body(), () -> {});
    }
    return outcome;
  }

  private void refuse(SideRequest request, Refusal refusal) {
    answers.refuse(request.answerTo(), request.id(), request.start().getLabel(), refusal);
  }

  private static long bytes(TargetOutcome outcome) {
    return outcome instanceof TargetOutcome.Answered answered ? answered.body().size() : 0;
  }

  static Position position(KeyClaim claim) {
    return new Position(claim.getOffset(), claim.getIndex());
  }

  private static long fingerprint(SideRequest request) {
    RequestStart start = request.start();
    Hasher hasher = Hashing.sipHash24().newHasher();
    hasher.putString(start.getMethod(), StandardCharsets.UTF_8).putByte((byte) 0);
    hasher.putString(start.getPath(), StandardCharsets.UTF_8).putByte((byte) 0);
    request.body().asReadOnlyByteBufferList().forEach(hasher::putBytes);
    return hasher.hash().asLong();
  }
}
