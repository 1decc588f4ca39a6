package io.marigoldsail.daemon.dispatch;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.marigoldsail.daemon.dispatch.ResponseSender.Rejection;
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
final class KeyedRequests {
  /** What came of a request that asked to run. */
  enum AdmissionResult {
    /** It is to be run. */
    RUN,
    /** It waits for the answer of the one that runs; it takes no slot. */
    JOINED,
    /** It has been answered. */
    ANSWERED
  }

  private static final int MAX_KEYS = 20_000;
  private static final long MAX_OUTCOME_BYTES = 3L * 1024 * 1024;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final LinkLoop loop;
  private final long processIncarnation;
  private final ResponseSender answers;
  private final ShardLeases leases = new ShardLeases();
  private final ShardHandoverReceiver handoverReceiver = new ShardHandoverReceiver();
  private final IdempotencyKeyStore<SideRequest, TargetOutcome> store =
      new IdempotencyKeyStore<>(MAX_KEYS, MAX_OUTCOME_BYTES);

  KeyedRequests(LinkLoop loop, long processIncarnation, ResponseSender answers) {
    this.loop = loop;
    this.processIncarnation = processIncarnation;
    this.answers = answers;
  }

  static boolean isKeyed(SideRequest request) {
    return request.start().hasKeyClaim() && !request.start().getIdempotencyKey().isEmpty();
  }

  /** Takes an entry's evidence that this process holds shards. */
  void leasesConfirmed(KeyLeases evidence) {
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
  AdmissionResult admit(SideRequest request, Runnable joining) {
    Rejection unheld = leaseRejection(request);
    if (unheld != null) {
      reject(request, unheld);
      return AdmissionResult.ANSWERED;
    }
    String key = request.start().getIdempotencyKey();
    Admission<TargetOutcome> admission =
        store.admit(key, fingerprint(request), request, loop.now());
    if (admission instanceof Admission.Run) {
      return AdmissionResult.RUN;
    }
    if (admission instanceof Admission.Join) {
      joining.run();
      return AdmissionResult.JOINED;
    }
    if (admission instanceof Admission.Completed<TargetOutcome> ran) {
      joining.run();
      answers.sendOutcome(
          request,
          ran.outcome()
              .orElse(
                  new TargetOutcome.NoResponse("it ran before; its answer is not kept any more")));
    } else if (admission instanceof Admission.Conflict) {
      String detail = "the Idempotency-Key was used for another request";
      reject(request, new Rejection(ErrorKind.CONFLICT, detail, 0));
    } else {
      String detail = "no room for another Idempotency-Key";
      reject(request, new Rejection(ErrorKind.OVERLOADED, detail, RETRY_AFTER_MILLIS));
    }
    return AdmissionResult.ANSWERED;
  }

  /**
   * Returns why the request may not start here now, or null where it may.
   *
   * <p>Asked again right before the start: a request that waited for a slot, or a process that was
   * frozen, may have outlived its lease, and the successor may already run the same key. A target
   * that tells repeats apart by itself does not mind.
   */
  Rejection leaseRejection(SideRequest request) {
    if (request.start().getTargetDetectsRepeats()) {
      return null;
    }
    KeyClaim claim = request.start().getKeyClaim();
    long now = loop.now();
    OptionalLong runsFrom = leases.servesFrom(claim.getShard(), position(claim), now);
    if (runsFrom.isEmpty()) {
      String detail = "this attempt was not run; the home of its Idempotency-Key is being changed";
      return new Rejection(ErrorKind.KEY_STATE_UNKNOWN, detail, RETRY_AFTER_MILLIS);
    }
    long quiet = runsFrom.getAsLong() - now;
    if (quiet <= 0) {
      return null;
    }
    String detail = "this attempt was not run; an earlier one may have been, at a former home";
    long retryAfter = TimeUnit.NANOSECONDS.toMillis(quiet) + 1;
    return new Rejection(ErrorKind.KEY_STATE_UNKNOWN, detail, retryAfter);
  }

  /** Notes the outcome of a request that ran; returns those who get it, too. */
  List<SideRequest> requestRan(SideRequest request, TargetOutcome outcome) {
    String key = request.start().getIdempotencyKey();
    if (outcome instanceof TargetOutcome.NotSent) {
      return store.abort(key);
    }
    return store.complete(key, detachedFromBudget(outcome), bodyBytes(outcome), loop.now());
  }

  /** Notes that a request that was to run did not; returns those who waited for it. */
  List<SideRequest> requestNotRun(SideRequest request) {
    return store.abort(request.start().getIdempotencyKey());
  }

  /**
   * Returns the shards that this process holds, for all it knows, with their keys.
   *
   * <p>To be asked only when nothing with a key runs here or will again: else a key that runs later
   * is unknown to whom the shards are given.
   */
  List<HandoverFrames.Shard> shardsToHandOver() {
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
  Optional<Boolean> acceptHandover(KeyHandover frame, boolean leaving) {
    HandedShard shard = frame.getShard();
    // A frame so late that this process has got the shard meanwhile tells of older runs than it
    // knows itself.
    boolean late = leases.hasLaterClaim(shard.getClaim().getShard(), position(shard.getClaim()));
    if (leaving || late || handoverReceiver.isFull()) {
      handoverReceiver.discard(shard);
      return Optional.of(false);
    }
    return handoverReceiver.add(frame, loop.now()).map(keys -> store.importKeys(keys, loop.now()));
  }

  /** Drops parts of shards whose rest never came. */
  void expire() {
    handoverReceiver.expire(loop.now());
  }

  /** Returns the outcome as it is given again: it holds nothing of the budget of bodies. */
  static TargetOutcome detachedFromBudget(TargetOutcome outcome) {
    if (outcome instanceof TargetOutcome.Responded answered) {
      return new TargetOutcome.Responded(
          answered.status(), answered.headers(), answered.body(), () -> {});
    }
    return outcome;
  }

  private void reject(SideRequest request, Rejection refusal) {
    answers.reject(request.responseConnection(), request.id(), request.start().getLabel(), refusal);
  }

  private static long bodyBytes(TargetOutcome outcome) {
    return outcome instanceof TargetOutcome.Responded answered ? answered.body().size() : 0;
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
