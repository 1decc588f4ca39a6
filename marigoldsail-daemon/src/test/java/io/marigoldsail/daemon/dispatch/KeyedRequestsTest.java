package io.marigoldsail.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.AttemptId;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.idempotency.KeyShards;
import io.marigoldsail.idempotency.KeyTimeouts;
import io.marigoldsail.protocol.Cancel;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.HandedKey;
import io.marigoldsail.protocol.HandedShard;
import io.marigoldsail.protocol.KeyClaim;
import io.marigoldsail.protocol.KeyHandover;
import io.marigoldsail.protocol.KeyHandoverResult;
import io.marigoldsail.protocol.KeyHandoverTaken;
import io.marigoldsail.protocol.KeyLease;
import io.marigoldsail.protocol.KeyLeases;
import io.marigoldsail.protocol.RequestStart;
import io.marigoldsail.time.MonotonicClock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A side process as the home of idempotency keys. */
class KeyedRequestsTest {
  private static final long INCARNATION = 42;
  private static final KeyClaim CLAIM = KeyClaim.newBuilder().setShard(3).setOffset(7).build();

  private final FakeTarget target = new FakeTarget();
  private final LinkLoop testLoop = new LinkLoop("test", MonotonicClock.system());
  private final AtomicLong clockOffsetNanos = new AtomicLong();
  private SideUnderTest side;
  private FakePeer entry;
  private FakePeer otherEntry;

  @BeforeEach
  void start() throws Exception {
    LinkLoop loop = new LinkLoop("side", () -> System.nanoTime() + clockOffsetNanos.get());
    ByteBudget budget = new ByteBudget(2L * BodyLimits.MAX_BYTES);
    side = new SideUnderTest("vm-1", INCARNATION, 0, target, loop, budget);
    Await.until("target probed", () -> !side.dispatcher().isDraining());
    entry = FakePeer.dial(testLoop, side.port());
    otherEntry = FakePeer.dial(testLoop, side.port());
  }

  @AfterEach
  void stop() {
    side.close();
    testLoop.close();
  }

  private void confirmLease(long incarnation, long quietMillis) {
    KeyLease.Builder lease = KeyLease.newBuilder().setClaim(CLAIM).setQuietMillis(quietMillis);
    KeyLeases.Builder evidence =
        KeyLeases.newBuilder().setProcessIncarnation(incarnation).addLeases(lease);
    Frame frame = Frame.newBuilder().setKeyLeases(evidence).build();
    side.dispatcher().keyListener().received("entry-1", frame);
    CompletableFuture<Void> taken = new CompletableFuture<>();
    side.loop().run(() -> taken.complete(null));
    taken.join();
  }

  private Frame charge(long incarnation, long sequence, String key, String body) {
    RequestStart.Builder start =
        RequestStart.newBuilder()
            .setId(SideFrames.toMessage(new AttemptId(incarnation, sequence)))
            .setMethod("POST")
            .setPath("/parking/charge")
            .setRemainingMillis(60_000)
            .setSentAt(testLoop.now())
            .setIdempotencyKey(key)
            .setKeyClaim(CLAIM)
            .setBodyLength(body.length())
            .setData(ByteString.copyFromUtf8(body))
            .setLast(true);
    return Frame.newBuilder().setRequestStart(start).build();
  }

  /**
   * A driver presses "pay" twice and the two presses reach two entries. The charge must run once,
   * and both presses must see its receipt, also a third after it ended.
   */
  @Test
  void requestsWithOneKeyRunOnceAndShareTheResponse() throws Exception {
    confirmLease(INCARNATION, 0);
    entry.send(charge(1, 1, "pay", "5 dollars"));
    FakeTarget.Run run = target.awaitNext();
    otherEntry.send(charge(2, 1, "pay", "5 dollars"));
    otherEntry.send(charge(2, 2, "other", "5 dollars"));
    target.awaitNext().respond("other receipt");
    assertEquals(2, otherEntry.next().getAnswerStart().getId().getSequence());

    run.respond("receipt");
    assertEquals("receipt", entry.next().getAnswerStart().getData().toStringUtf8());
    Frame joined = otherEntry.next();
    assertEquals("receipt", joined.getAnswerStart().getData().toStringUtf8());
    assertEquals(1, joined.getAnswerStart().getId().getSequence());
    entry.send(charge(1, 2, "pay", "5 dollars"));
    assertEquals("receipt", entry.next().getAnswerStart().getData().toStringUtf8());
    assertEquals(2, target.startedCount());
  }

  @Test
  void keyReusedForAnotherRequestIsAConflict() throws Exception {
    confirmLease(INCARNATION, 0);
    entry.send(charge(1, 1, "pay", "5 dollars"));
    target.awaitNext();
    entry.send(charge(1, 2, "pay", "6 dollars"));

    assertEquals("conflict", entry.next().getNotRun().getErrorKind());
    assertEquals(1, target.startedCount());
  }

  /** The charge's outcome is lost at the target: whoever asks again hears just that. */
  @Test
  void requestOfUnknownOutcomeIsNotRunAgain() throws Exception {
    confirmLease(INCARNATION, 0);
    entry.send(charge(1, 1, "pay", "5 dollars"));
    target.awaitNext().ended().accept(new TargetOutcome.NoResponse("reset"));
    assertEquals("outcome-unknown", entry.next().getFailed().getErrorKind());
    entry.send(charge(1, 2, "pay", "5 dollars"));

    assertEquals("outcome-unknown", entry.next().getFailed().getErrorKind());
    assertEquals(1, target.startedCount());
  }

  /**
   * The home is cut off from all entries, or frozen, for longer than its lease; meanwhile its shard
   * went to another one. What still reaches it must not run here, too.
   */
  @Test
  void nothingRunsUnderExpiredLease() throws Exception {
    confirmLease(INCARNATION, 0);
    clockOffsetNanos.set(KeyTimeouts.LEASE_NANOS);
    entry.send(charge(1, 1, "pay", "5 dollars"));

    assertEquals("key-state-unknown", entry.next().getNotRun().getErrorKind());
    assertEquals(0, target.startedCount());
  }

  /** The same, with the lease lapsing while the charge waits for a slot. */
  @Test
  void leaseIsCheckedAgainWhenSlotBecomesFree() throws Exception {
    confirmLease(INCARNATION, 0);
    List<FakeTarget.Run> runs = new ArrayList<>();
    for (int i = 1; i <= 8; i++) {
      entry.send(charge(1, i, "key-" + i, "5 dollars"));
      runs.add(target.awaitNext());
    }
    entry.send(charge(1, 9, "pay", "5 dollars"));
    Await.until("it waits", () -> side.dispatcher().load().waiting() == 1);
    clockOffsetNanos.set(KeyTimeouts.LEASE_NANOS);
    runs.get(0).respond("receipt");

    assertTrue(entry.next().hasAnswerStart());
    assertEquals("key-state-unknown", entry.next().getNotRun().getErrorKind());
    assertEquals(8, target.startedCount());
  }

  /** A home after a death does not know what its predecessor ran, and says so. */
  @Test
  void shardInTakeoverDelayIsRejectedWithRetryAfter() throws Exception {
    confirmLease(INCARNATION, 5_000);
    entry.send(charge(1, 1, "pay", "5 dollars"));

    Frame refused = entry.next();
    assertEquals("key-state-unknown", refused.getNotRun().getErrorKind());
    assertTrue(refused.getNotRun().getRetryAfterMillis() > 0);
    assertEquals(0, target.startedCount());
  }

  @Test
  void confirmationForPredecessorIsIgnored() throws Exception {
    confirmLease(INCARNATION - 1, 0);
    entry.send(charge(1, 1, "pay", "5 dollars"));

    assertEquals("key-state-unknown", entry.next().getNotRun().getErrorKind());
  }

  /** The first press is given up while it waits; the second, which waited for it, did not run. */
  @Test
  void joinedRequestOfCancelledRequestIsRejectedAsNotRun() throws Exception {
    confirmLease(INCARNATION, 0);
    for (int i = 1; i <= 8; i++) {
      entry.send(charge(1, i, "key-" + i, "5 dollars"));
      target.awaitNext();
    }
    entry.send(charge(1, 9, "pay", "5 dollars"));
    Await.until("it waits", () -> side.dispatcher().load().waiting() == 1);
    otherEntry.send(charge(2, 1, "pay", "5 dollars"));
    Cancel.Builder cancel = Cancel.newBuilder().setId(SideFrames.toMessage(new AttemptId(1, 9)));
    Frame cancelFrame = Frame.newBuilder().setCancel(cancel).build();
    otherEntry.send(charge(2, 2, "key-1", "6 dollars"));
    assertEquals("conflict", otherEntry.next().getNotRun().getErrorKind());
    entry.send(cancelFrame);

    assertEquals("overloaded", otherEntry.next().getNotRun().getErrorKind());
    assertEquals(8, target.startedCount());
  }

  private static HandedShard shardId(long offset) {
    return HandedShard.newBuilder()
        .setVm("vm-2")
        .setService("parking")
        .setClaim(CLAIM.toBuilder().setOffset(offset))
        .build();
  }

  private void handOver(HandedShard shard, int total, HandedKey... keys) {
    KeyHandover.Builder frame =
        KeyHandover.newBuilder()
            .setShard(shard)
            .setTotal(total)
            .setSuccessorIncarnation(INCARNATION)
            .addAllKeys(List.of(keys));
    side.dispatcher()
        .keyListener()
        .received("entry-1", Frame.newBuilder().setKeyHandover(frame).build());
  }

  private static HandedKey key(String name) {
    return HandedKey.newBuilder().setKey(name).setRemainingMillis(60_000).setLost("reset").build();
  }

  /**
   * A stopping home's keys come in two frames, and the first comes twice while the second is late.
   * Had the successor taken the shard by then, the charges of the second frame could run again.
   */
  @Test
  void shardIsTakenOnlyWhenAllKeysAreReceived() throws Exception {
    handOver(shardId(5), 2, key("a"));
    handOver(shardId(5), 2, key("a"));
    handOver(shardId(6), 0);
    assertEquals(shardId(6), side.awaitNextFrameToEntry().getKeyHandoverTaken().getShard());
    handOver(shardId(5), 2, key("b"));

    KeyHandoverTaken taken = side.awaitNextFrameToEntry().getKeyHandoverTaken();
    assertEquals(shardId(5), taken.getShard());
    assertTrue(taken.getTaken());
  }

  /** A copy of the frames comes when this process has long got the shard and run more there. */
  @Test
  void staleHandoverIsNotTaken() throws Exception {
    confirmLease(INCARNATION, 0);
    handOver(shardId(5), 1, key("pay"));
    assertFalse(side.awaitNextFrameToEntry().getKeyHandoverTaken().getTaken());
    entry.send(charge(1, 1, "pay", "5 dollars"));

    target.awaitNext().respond("receipt");
    assertEquals("receipt", entry.next().getAnswerStart().getData().toStringUtf8());
  }

  /**
   * A home is stopped while a charge runs. Its keys given away before the charge has ended would
   * leave this one out, and the driver's repeat would run at the successor.
   */
  @Test
  void stoppingOwnerHandsKeysOverOnceNoneRuns() throws Exception {
    confirmLease(INCARNATION, 0);
    String ofShard = "pay";
    while (KeyShards.of(ofShard) != CLAIM.getShard()) {
      ofShard += "-again";
    }
    entry.send(charge(1, 1, ofShard, "5 dollars"));
    FakeTarget.Run run = target.awaitNext();
    CompletableFuture<Void> stopped = side.dispatcher().beginStop();
    otherEntry.send(charge(2, 1, "late", "5 dollars"));
    assertEquals("shutting-down", otherEntry.next().getNotRun().getErrorKind());
    assertTrue(side.sentNothingToEntries());
    run.respond("receipt");

    KeyHandover given = side.awaitNextFrameToEntry().getKeyHandover();
    assertEquals(1, given.getTotal());
    assertEquals("receipt", given.getKeys(0).getAnswered().getBody().toStringUtf8());
    assertFalse(stopped.isDone());
    receiveResult("entry-1", given, true);
    stopped.join();
  }

  /**
   * The first entry that is asked cannot reach the log; the next one can. Were the home to give up
   * at the first refusal, its keys would be refused for 71 s.
   */
  @Test
  void refusedHandoverIsRetriedThroughNextEntry() throws Exception {
    confirmLease(INCARNATION, 0);
    CompletableFuture<Void> stopped = side.dispatcher().beginStop();
    KeyHandover given = side.awaitNextFrameToEntry().getKeyHandover();
    receiveResult("entry-1", given, false);
    assertEquals(given, side.awaitNextFrameToEntry().getKeyHandover());
    receiveResult("entry-1", given, false);
    assertFalse(stopped.isDone());
    receiveResult("entry-2", given, true);

    stopped.join();
  }

  private void receiveResult(String from, KeyHandover given, boolean moved) {
    KeyHandoverResult.Builder result =
        KeyHandoverResult.newBuilder().setShard(given.getShard()).setMoved(moved);
    Frame frame = Frame.newBuilder().setKeyHandoverResult(result).build();
    side.dispatcher().keyListener().received(from, frame);
  }
}
