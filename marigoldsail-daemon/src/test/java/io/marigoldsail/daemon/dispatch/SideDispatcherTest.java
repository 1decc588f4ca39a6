package io.marigoldsail.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.AttemptId;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.protocol.Cancel;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.Ping;
import io.marigoldsail.protocol.RequestStart;
import io.marigoldsail.protocol.Resolution;
import io.marigoldsail.protocol.Resolve;
import io.marigoldsail.time.MonotonicClock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SideDispatcherTest {
  private static final long INCARNATION = 42;
  private static final int SLOTS = 8;
  private static final int QUEUE_CAPACITY = 4;
  private static final long LONG_MILLIS = 60_000;

  private final FakeTarget target = new FakeTarget();
  private final LinkLoop testLoop = new LinkLoop("test", MonotonicClock.system());
  private final AtomicLong clockOffsetNanos = new AtomicLong();
  private SideUnderTest side;
  private FakePeer entry;

  @BeforeEach
  void start() throws Exception {
    LinkLoop loop = new LinkLoop("side", () -> System.nanoTime() + clockOffsetNanos.get());
    ByteBudget budget = new ByteBudget(2L * BodyLimits.MAX_BYTES);
    side = new SideUnderTest("vm-1", INCARNATION, 0, target, loop, budget);
    Await.until("target probed", () -> !side.dispatcher().isDraining());
    entry = dial();
  }

  @AfterEach
  void stop() {
    side.close();
    testLoop.close();
  }

  private FakePeer dial() throws InterruptedException {
    FakePeer peer = FakePeer.dial(testLoop, side.port());
    peer.send(Frame.newBuilder().setPing(Ping.newBuilder().setNonce(testLoop.now())).build());
    assertTrue(peer.next().hasPong());
    return peer;
  }

  private RequestStart.Builder request(long sequence) {
    return RequestStart.newBuilder()
        .setId(SideFrames.toMessage(new AttemptId(1, sequence)))
        .setMethod("POST")
        .setPath("/parking/book")
        .setLabel("1-" + sequence)
        .setRemainingMillis(LONG_MILLIS)
        .setSentAt(testLoop.now())
        .setLast(true);
  }

  private static Frame frame(RequestStart.Builder start) {
    return Frame.newBuilder().setRequestStart(start).build();
  }

  private static Frame resolve(long sequence, long incarnation) {
    Resolve.Builder resolve =
        Resolve.newBuilder()
            .setId(SideFrames.toMessage(new AttemptId(1, sequence)))
            .setProcessIncarnation(incarnation);
    return Frame.newBuilder().setResolve(resolve).build();
  }

  private static Frame cancel(long sequence) {
    Cancel.Builder cancel =
        Cancel.newBuilder().setId(SideFrames.toMessage(new AttemptId(1, sequence)));
    return Frame.newBuilder().setCancel(cancel).build();
  }

  private List<FakeTarget.Run> fillSlotsAndQueue() throws InterruptedException {
    for (int i = 1; i <= SLOTS + QUEUE_CAPACITY; i++) {
      entry.send(frame(request(i)));
    }
    List<FakeTarget.Run> runs = new ArrayList<>();
    for (int i = 0; i < SLOTS; i++) {
      runs.add(target.awaitNext());
    }
    Await.until("the rest waits", () -> side.dispatcher().load().waiting() == QUEUE_CAPACITY);
    return runs;
  }

  @Test
  void responseCarriesRequestIdAndLoad() throws Exception {
    entry.send(frame(request(1)));
    entry.send(frame(request(2)));
    FakeTarget.Run first = target.awaitNext();
    FakeTarget.Run second = target.awaitNext();

    second.respond("second");
    Frame early = entry.next();
    first.respond("first");
    Frame late = entry.next();

    assertEquals(2, early.getAnswerStart().getId().getSequence());
    assertEquals("second", early.getAnswerStart().getData().toStringUtf8());
    assertEquals(1, early.getAnswerStart().getReport().getInFlight());
    assertEquals("first", late.getAnswerStart().getData().toStringUtf8());
  }

  /**
   * A full side process turns a booking away and the caller reads "not run"; whoever still runs it
   * later books twice. The target's own record must not show it, also when a copy comes later.
   */
  @Test
  void requestRejectedAsOverloadedNeverRuns() throws Exception {
    List<FakeTarget.Run> runs = fillSlotsAndQueue();
    long refused = SLOTS + QUEUE_CAPACITY + 1;
    entry.send(frame(request(refused)));
    assertEquals("overloaded", entry.next().getNotRun().getErrorKind());

    runs.forEach(run -> run.respond("done"));
    for (int i = 0; i < QUEUE_CAPACITY; i++) {
      target.awaitNext().respond("done");
    }
    for (int i = 0; i < SLOTS + QUEUE_CAPACITY; i++) {
      assertTrue(entry.next().hasAnswerStart());
    }
    entry.send(frame(request(refused)));

    assertTrue(entry.next().hasNotRun());
    assertEquals(SLOTS + QUEUE_CAPACITY, target.startedCount());
  }

  /**
   * A connection goes silent with a booking in it. The entry asks over a new one, hears "not run",
   * and tells its caller so. Then the old connection delivers after all: without a tombstone on the
   * id the booking runs though it was said not to have run.
   */
  @Test
  void requestReceivedAfterItsResolutionDoesNotRun() throws Exception {
    FakePeer fresh = dial();
    fresh.send(resolve(1, INCARNATION));
    assertEquals(Resolution.State.NOT_RUN, fresh.next().getResolution().getState());

    entry.send(frame(request(1)));

    assertTrue(entry.next().hasNotRun());
    assertEquals(0, target.startedCount());
  }

  /**
   * A side process is killed while its target works on a charge, and started anew on the same
   * address. The new one has never seen the id; if it took that for "did not run", the charge would
   * be made a second time.
   */
  @Test
  void successorReportsPredecessorsRequestsAsForgotten() throws Exception {
    entry.send(resolve(1, INCARNATION - 1));

    assertEquals(Resolution.State.FORGOTTEN, entry.next().getResolution().getState());
  }

  /**
   * The connection is lost while the target works. Asked over a new one, the side process says
   * "running", and the answer comes there; the target ran the charge once.
   */
  @Test
  void responseIsSentToConnectionOfLastResolve() throws Exception {
    entry.send(frame(request(1)));
    FakeTarget.Run run = target.awaitNext();
    entry.close();

    FakePeer fresh = dial();
    fresh.send(resolve(1, INCARNATION));
    assertEquals(Resolution.State.RUNNING, fresh.next().getResolution().getState());
    run.respond("charged");

    assertEquals("charged", fresh.next().getAnswerStart().getData().toStringUtf8());
    assertEquals(1, target.startedCount());
  }

  /** The answer was lost with its connection; the kept one comes whole over the new one. */
  @Test
  void retainedResponseIsSentAgain() throws Exception {
    entry.send(frame(request(1)));
    target.awaitNext().respond("charged");
    assertTrue(entry.next().hasAnswerStart());
    entry.close();

    FakePeer fresh = dial();
    fresh.send(resolve(1, INCARNATION));

    assertEquals("charged", fresh.next().getAnswerStart().getData().toStringUtf8());
    assertEquals(1, target.startedCount());
  }

  /**
   * Each answer was kept for 60 s although its entry had read it; at 16,000 a second collecting
   * them held up one request in a hundred for 85 ms. What the entry has read is let go, what it has
   * not read is kept, and neither can run again.
   */
  @Test
  void onlyUnacknowledgedResponsesAreRetained() throws Exception {
    for (int i = 1; i <= 2; i++) {
      entry.send(frame(request(i)));
      target.awaitNext().respond("charged");
      assertTrue(entry.next().hasAnswerStart());
    }
    entry.acknowledgeResponse();
    entry.send(Frame.newBuilder().setPing(Ping.newBuilder().setNonce(testLoop.now())).build());
    assertTrue(entry.next().hasPong());
    entry.close();

    FakePeer fresh = dial();
    fresh.send(resolve(1, INCARNATION));
    assertEquals(Resolution.State.FORGOTTEN, fresh.next().getResolution().getState());
    fresh.send(resolve(2, INCARNATION));
    assertEquals("charged", fresh.next().getAnswerStart().getData().toStringUtf8());
    fresh.send(frame(request(1)));
    assertEquals("outcome-unknown", fresh.next().getFailed().getErrorKind());
    assertEquals(2, target.startedCount());
  }

  /** An entry that claims answers it was never sent would have others' answers dropped unread. */
  @Test
  void acknowledgingUnsentResponsesClosesConnection() throws Exception {
    entry.acknowledgeResponse();
    entry.send(frame(request(1)));

    entry.awaitClosed();
    assertEquals(0, target.startedCount());
  }

  /**
   * The VM freezes for ten seconds with a booking unread in its socket, whose caller waits five.
   * Counting the five from when it is read, the woken process runs a booking that its caller was
   * told had timed out.
   */
  @Test
  void resumedProcessDoesNotStartExpiredRequest() throws Exception {
    long tenSecondsAgo = testLoop.now() - TimeUnit.SECONDS.toNanos(10);

    entry.send(frame(request(1).setSentAt(tenSecondsAgo).setRemainingMillis(5_000)));

    assertEquals("deadline-before-start", entry.next().getNotRun().getErrorKind());
    assertEquals(0, target.startedCount());
  }

  /** A request whose deadline passes while it waits for a slot is given up, not run late. */
  @Test
  void requestThatExpiresInQueueDoesNotRun() throws Exception {
    List<FakeTarget.Run> runs = new ArrayList<>();
    for (int i = 1; i <= SLOTS; i++) {
      entry.send(frame(request(i)));
      runs.add(target.awaitNext());
    }
    entry.send(frame(request(100).setRemainingMillis(LONG_MILLIS / 2)));
    entry.send(frame(request(101)));
    Await.until("both wait", () -> side.dispatcher().load().waiting() == 2);
    clockOffsetNanos.set(TimeUnit.MILLISECONDS.toNanos(LONG_MILLIS / 2));
    runs.get(0).respond("done");

    assertTrue(entry.next().hasAnswerStart());
    assertEquals("deadline-before-start", entry.next().getNotRun().getErrorKind());
    target.awaitNext().respond("done");
    assertEquals(SLOTS + 1, target.startedCount());
  }

  /** Half of a body must never reach a target as a whole one. */
  @Test
  void truncatedRequestNeverRuns() throws Exception {
    ByteString half = ByteString.copyFromUtf8("half");
    entry.send(frame(request(1).setBodyLength(8).setData(half).setLast(false)));
    entry.close();

    FakePeer fresh = dial();
    fresh.send(resolve(1, INCARNATION));

    assertEquals(Resolution.State.NOT_RUN, fresh.next().getResolution().getState());
    assertEquals(0, target.startedCount());
  }

  @Test
  void bodyOfWrongLengthClosesOnlyItsConnection() throws Exception {
    FakePeer other = dial();
    other.send(frame(request(2)));
    FakeTarget.Run run = target.awaitNext();

    entry.send(frame(request(1).setBodyLength(2).setData(ByteString.copyFromUtf8("long"))));
    entry.awaitClosed();
    run.respond("done");

    assertTrue(other.next().hasAnswerStart());
    assertEquals(1, target.startedCount());
  }

  @Test
  void bodiesBeyondBudgetAreRejectedAndBudgetIsReleased() throws Exception {
    for (int i = 1; i <= 2; i++) {
      entry.send(frame(request(i).setBodyLength(BodyLimits.MAX_BYTES).setLast(false)));
    }
    entry.send(frame(request(3).setBodyLength(1).setData(ByteString.copyFromUtf8("x"))));
    assertEquals("overloaded", entry.next().getNotRun().getErrorKind());

    entry.send(cancel(1));
    entry.send(frame(request(4).setBodyLength(1).setData(ByteString.copyFromUtf8("x"))));

    target.awaitNext().respond("done");
    assertEquals(4, entry.next().getAnswerStart().getId().getSequence());
  }

  @Test
  void cancelStopsQueuedRequestsOnly() throws Exception {
    List<FakeTarget.Run> runs = fillSlotsAndQueue();
    entry.send(cancel(SLOTS + 1));
    entry.send(cancel(1));
    Await.until("given up", () -> side.dispatcher().load().waiting() == QUEUE_CAPACITY - 1);
    assertEquals(SLOTS, side.dispatcher().load().inFlight());

    runs.forEach(run -> run.respond("done"));
    for (int i = 0; i < QUEUE_CAPACITY - 1; i++) {
      target.awaitNext().respond("done");
    }
    for (int i = 0; i < SLOTS + QUEUE_CAPACITY - 1; i++) {
      assertTrue(entry.next().hasAnswerStart());
    }
    assertEquals(SLOTS + QUEUE_CAPACITY - 1, target.startedCount());
  }

  /**
   * A planned stop cuts off nobody: what runs and what waits inside is answered, what comes after
   * reads "not run", and only then does the process say that it may exit.
   */
  @Test
  void plannedStopCompletesPendingRequestsAndRejectsNew() throws Exception {
    List<FakeTarget.Run> runs = fillSlotsAndQueue();
    CompletableFuture<Void> drained = side.dispatcher().beginStop();
    entry.send(frame(request(100)));
    assertEquals("shutting-down", entry.next().getNotRun().getErrorKind());
    assertFalse(drained.isDone());

    runs.forEach(run -> run.respond("done"));
    for (int i = 0; i < QUEUE_CAPACITY; i++) {
      target.awaitNext().respond("done");
    }
    for (int i = 0; i < SLOTS + QUEUE_CAPACITY; i++) {
      assertTrue(entry.next().hasAnswerStart());
    }
    drained.orTimeout(30, TimeUnit.SECONDS).join();
  }

  /**
   * A side process stops while it is idle. A charge that its entry sent a moment before it heard of
   * that is still on its way; the process exits, and the caller is told that the outcome is unknown
   * though a planned stop cuts off nobody.
   */
  @Test
  void plannedStopWaitsForRequestsInTransit() throws Exception {
    entry.withholdGoAwayAck();
    CompletableFuture<Void> drained = side.dispatcher().beginStop();
    entry.send(frame(request(1)));
    assertTrue(entry.next().hasGoAway());
    assertEquals("shutting-down", entry.next().getNotRun().getErrorKind());
    assertFalse(drained.isDone(), "more may come before the acknowledgement");
    entry.send(EntryFrames.goAwayAck());
    assertTrue(entry.next().hasGoAway());
    assertFalse(drained.isDone(), "the refusal may not have arrived");
    entry.send(EntryFrames.goAwayAck());

    drained.orTimeout(30, TimeUnit.SECONDS).join();
    assertEquals(0, target.startedCount());
  }

  /**
   * The last charge ends during a stop and its answer is handed to the operating system, which has
   * not delivered it when the process exits with a ping unread: the kernel resets the connection
   * and throws the answer away, and a caller who was charged is told that the outcome is unknown.
   */
  @Test
  void plannedStopWaitsUntilLastResponseIsReceived() throws Exception {
    entry.withholdGoAwayAck();
    entry.send(frame(request(1)));
    FakeTarget.Run run = target.awaitNext();
    CompletableFuture<Void> drained = side.dispatcher().beginStop();
    assertTrue(entry.next().hasGoAway());
    entry.send(EntryFrames.goAwayAck());
    run.respond("charged");
    assertTrue(entry.next().hasAnswerStart());

    assertTrue(entry.next().hasGoAway(), "asked behind the answer");
    assertFalse(drained.isDone());
    entry.send(EntryFrames.goAwayAck());

    drained.orTimeout(30, TimeUnit.SECONDS).join();
  }

  @Test
  void leavingTargetGetsNoNewRequests() throws Exception {
    target.health(TargetHealth.LEAVING);
    Await.until("noticed", () -> side.dispatcher().isDraining());

    entry.send(frame(request(1)));

    assertEquals("shutting-down", entry.next().getNotRun().getErrorKind());
    assertEquals(0, target.startedCount());
  }

  @Test
  void unansweredProbeKeepsLastHealth() {
    target.health(TargetHealth.UNKNOWN);
    long due = testLoop.now() + TimeUnit.MILLISECONDS.toNanos(1_200);
    Await.until("probed twice", () -> testLoop.now() - due > 0);

    assertFalse(side.dispatcher().isDraining());
  }

  @Test
  void requestNotSentIsReportedAsNotRun() throws Exception {
    entry.send(frame(request(1)));
    target.awaitNext().ended().accept(new TargetOutcome.NotSent("refused"));

    assertEquals("target-unreachable", entry.next().getNotRun().getErrorKind());
  }

  @Test
  void missingAndInvalidResponsesAreNotReportedAsNotRun() throws Exception {
    entry.send(frame(request(1)));
    target.awaitNext().ended().accept(new TargetOutcome.NoResponse("reset"));
    assertEquals("outcome-unknown", entry.next().getFailed().getErrorKind());
    entry.send(frame(request(2)));
    target.awaitNext().ended().accept(new TargetOutcome.InvalidResponse("cut short"));
    assertEquals("target-broken-answer", entry.next().getFailed().getErrorKind());
  }
}
