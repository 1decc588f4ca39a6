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
 * Admits requests with idempotency keys in a side process that owns key shards: each key runs once,
 * and all requests with the key share its outcome.
 *
 * <p>Confined to the loop's thread.
 */
final class KeyedRequests {
  /** The result of {@link #admit}. */
  enum AdmissionResult {
    /** The request is to be run. */
    RUN,
    /** The request waits for the response of the one that runs; it takes no slot. */
    JOINED,
    /** The request has been answered or rejected. */
    ANSWERED
  }

  private static final int MAX_KEYS = 20_000;
  private static final long MAX_OUTCOME_BYTES = 3L * 1024 * 1024;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final LinkLoop loop;
  private final long processIncarnation;
  private final ResponseSender responseSender;
  private final ShardLeases leases = new ShardLeases();
  private final ShardHandoverReceiver handoverReceiver = new ShardHandoverReceiver();
  private final IdempotencyKeyStore<SideRequest, TargetOutcome> store =
      new IdempotencyKeyStore<>(MAX_KEYS, MAX_OUTCOME_BYTES);

  KeyedRequests(LinkLoop loop, long processIncarnation, ResponseSender responseSender) {
    this.loop = loop;
    this.processIncarnation = processIncarnation;
    this.responseSender = responseSender;
  }

  static boolean isKeyed(SideRequest request) {
    return request.start().hasKeyClaim() && !request.start().getIdempotencyKey().isEmpty();
  }

  /** Applies an entry's confirmation that this process holds the leases of shards. */
  void leasesConfirmed(KeyLeases confirmation) {
    if (confirmation.getProcessIncarnation() != processIncarnation) {
      return;
    }
    long now = loop.now();
    long confirmedAt = now - TimeUnit.MILLISECONDS.toNanos(confirmation.getAgeMillis());
    for (KeyLease lease : confirmation.getLeasesList()) {
      long servesFrom = now + TimeUnit.MILLISECONDS.toNanos(lease.getQuietMillis());
      leases.confirmed(
          lease.getClaim().getShard(), position(lease.getClaim()), confirmedAt, servesFrom);
    }
  }

  /**
   * Admits a keyed request whose body is complete.
   *
   * @param beforeJoin run before a request joins a running one or shares a retained outcome; marks
   *     it as started
   */
  AdmissionResult admit(SideRequest request, Runnable beforeJoin) {
    Rejection rejection = leaseRejection(request);
    if (rejection != null) {
      reject(request, rejection);
      return AdmissionResult.ANSWERED;
    }
    String key = request.start().getIdempotencyKey();
    Admission<TargetOutcome> admission =
        store.admit(key, fingerprint(request), request, loop.now());
    if (admission instanceof Admission.Run) {
      return AdmissionResult.RUN;
    }
    if (admission instanceof Admission.Join) {
      beforeJoin.run();
      return AdmissionResult.JOINED;
    }
    if (admission instanceof Admission.Completed<TargetOutcome> completed) {
      beforeJoin.run();
      responseSender.sendOutcome(
          request,
          completed
              .outcome()
              .orElse(
                  new TargetOutcome.NoResponse(
                      "the request ran before; its response is no longer retained")));
    } else if (admission instanceof Admission.Conflict) {
      String detail = "the Idempotency-Key was used for another request";
      reject(request, new Rejection(ErrorKind.CONFLICT, detail, 0));
    } else {
      String detail = "the side process has no capacity for another Idempotency-Key";
      reject(request, new Rejection(ErrorKind.OVERLOADED, detail, RETRY_AFTER_MILLIS));
    }
    return AdmissionResult.ANSWERED;
  }

  /**
   * Returns why the lease does not allow the request to start now, or null if it does.
   *
   * <p>Checked again right before the start: while the request was queued or the process paused,
   * the lease may have expired, and the successor may already run the same key. Not needed for
   * targets that detect repeats.
   */
  Rejection leaseRejection(SideRequest request) {
    if (request.start().getTargetDetectsRepeats()) {
      return null;
    }
    KeyClaim claim = request.start().getKeyClaim();
    long now = loop.now();
    OptionalLong servesFrom = leases.servesFrom(claim.getShard(), position(claim), now);
    if (servesFrom.isEmpty()) {
      String detail = "this attempt was not run; the owner of its Idempotency-Key is changing";
      return new Rejection(ErrorKind.KEY_STATE_UNKNOWN, detail, RETRY_AFTER_MILLIS);
    }
    long takeoverDelayNanos = servesFrom.getAsLong() - now;
    if (takeoverDelayNanos <= 0) {
      return null;
    }
    String detail =
        "this attempt was not run; a former owner of its key may have run an earlier one";
    long retryAfter = TimeUnit.NANOSECONDS.toMillis(takeoverDelayNanos) + 1;
    return new Rejection(ErrorKind.KEY_STATE_UNKNOWN, detail, retryAfter);
  }

  /** Records the outcome of a request that ran; returns the requests that share it. */
  List<SideRequest> requestRan(SideRequest request, TargetOutcome outcome) {
    String key = request.start().getIdempotencyKey();
    if (outcome instanceof TargetOutcome.NotSent) {
      return store.abort(key);
    }
    return store.complete(key, detachedFromBudget(outcome), bodyBytes(outcome), loop.now());
  }

  /** Records that an admitted request did not run; returns the requests that waited for it. */
  List<SideRequest> requestNotRun(SideRequest request) {
    return store.abort(request.start().getIdempotencyKey());
  }

  /**
   * Returns the shards that this process holds as far as it knows, with their keys.
   *
   * <p>To be called only when no keyed request runs here or will run again. The new owner would not
   * know a key that runs later.
   */
  List<HandoverFrames.Shard> shardsToHandOver() {
    long now = loop.now();
    List<HandoverFrames.Shard> shards = new ArrayList<>();
    leases
        .claims()
        .forEach(
            (shard, claim) -> {
              HandedShard shardId =
                  HandedShard.newBuilder()
                      .setProcessIncarnation(processIncarnation)
                      .setClaim(
                          KeyClaim.newBuilder()
                              .setShard(shard)
                              .setOffset(claim.offset())
                              .setIndex(claim.index()))
                      .build();
              shards.add(new HandoverFrames.Shard(shardId, store.completedKeys(shard, now)));
            });
    return shards;
  }

  /**
   * Accepts keys that a stopping owner hands over to this process.
   *
   * @param frame some of a shard's keys
   * @param draining whether this process is stopping itself
   * @return true if all keys of the shard are accepted, false if the shard is rejected, or empty
   *     while keys are missing
   */
  Optional<Boolean> acceptHandover(KeyHandover frame, boolean draining) {
    HandedShard shard = frame.getShard();
    // A stale frame of a shard that this process has owned since has older runs than its own.
    boolean stale = leases.hasLaterClaim(shard.getClaim().getShard(), position(shard.getClaim()));
    if (draining || stale || handoverReceiver.isFull()) {
      handoverReceiver.discard(shard);
      return Optional.of(false);
    }
    return handoverReceiver.add(frame, loop.now()).map(keys -> store.importKeys(keys, loop.now()));
  }

  /** Drops incomplete shards whose remaining keys were not received in time. */
  void expire() {
    handoverReceiver.expire(loop.now());
  }

  /** Returns a copy of the outcome that holds no bytes of the budget of bodies. */
  static TargetOutcome detachedFromBudget(TargetOutcome outcome) {
    if (outcome instanceof TargetOutcome.Responded responded) {
      return new TargetOutcome.Responded(
          responded.status(), responded.headers(), responded.body(), () -> {});
    }
    return outcome;
  }

  private void reject(SideRequest request, Rejection rejection) {
    responseSender.reject(
        request.responseConnection(), request.id(), request.start().getLabel(), rejection);
  }

  private static long bodyBytes(TargetOutcome outcome) {
    return outcome instanceof TargetOutcome.Responded responded ? responded.body().size() : 0;
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
