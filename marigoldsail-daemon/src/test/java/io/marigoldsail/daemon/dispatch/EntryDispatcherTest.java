package io.marigoldsail.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.dispatch.AttemptId;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.Resolution;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An entry with a side process that is controlled by the test. */
class EntryDispatcherTest {
  private static final long INCARNATION = 42;

  private EntryUnderTest entry;
  private FakeSide side;

  @BeforeEach
  void start() throws Exception {
    entry = new EntryUnderTest("entry-1", 1);
    side = new FakeSide("vm-1", INCARNATION, 0);
    side.announce(entry, false);
    entry.awaitTargets(1);
  }

  @AfterEach
  void stop() {
    entry.close();
    side.close();
  }

  private CompletableFuture<HttpResponse<byte[]>> charge() {
    return entry.sendAsync(
        entry.request("/parking/charge").POST(HttpRequest.BodyPublishers.ofString("5 dollars")));
  }

  private CompletableFuture<HttpResponse<byte[]>> lookup() {
    return entry.sendAsync(entry.request("/parking/spaces").GET());
  }

  private static String text(HttpResponse<byte[]> response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }

  /** Makes the request's connection unresponsive; returns the Resolve received on a new one. */
  private FakeSide.ReceivedFrame stallAndAwaitResolve(FakeSide.ReceivedFrame request)
      throws Exception {
    side.stopResponding(request.connection());
    FakeSide.ReceivedFrame resolve = side.next();
    assertTrue(resolve.frame().hasResolve(), () -> "not a Resolve: " + resolve.frame());
    assertNotSame(request.connection(), resolve.connection());
    return resolve;
  }

  /**
   * Guards against a request hanging on a connection that the network silently stops to deliver,
   * without an error at either end. Over a new connection the side process reports that the request
   * runs, and the response is received there.
   */
  @Test
  void requestOnUnresponsiveConnectionIsResolvedOverNewConnection() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> charge = charge();
    FakeSide.ReceivedFrame request = side.next();
    AttemptId id = FakeSide.idOf(request.frame());

    FakeSide.ReceivedFrame resolve = stallAndAwaitResolve(request);
    assertEquals(id, SideFrames.fromMessage(resolve.frame().getResolve().getId()));
    assertEquals(INCARNATION, resolve.frame().getResolve().getProcessIncarnation());
    side.send(resolve.connection(), FakeSide.resolution(id, Resolution.State.RUNNING));
    side.send(resolve.connection(), FakeSide.response(id, 200, "charged"));

    assertEquals("charged", text(charge.join()));
    assertEquals(0, side.unreadCount());
  }

  /** While one connection is unresponsive, requests on the others must still be answered. */
  @Test
  void unresponsiveConnectionDoesNotDelayOthers() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> stuck = charge();
    FakeSide.ReceivedFrame first = side.next();
    side.stopResponding(first.connection());
    for (int i = 0; i < 3; i++) {
      CompletableFuture<HttpResponse<byte[]>> other = lookup();
      FakeSide.ReceivedFrame next = side.next();
      if (next.frame().hasResolve()) {
        side.send(next.connection(), FakeSide.response(FakeSide.idOf(first.frame()), 200, "late"));
        next = side.next();
      }
      side.send(next.connection(), FakeSide.response(FakeSide.idOf(next.frame()), 200, "free"));
      assertEquals("free", text(other.join()));
    }
    if (!stuck.isDone()) {
      FakeSide.ReceivedFrame resolve = side.next();
      side.send(resolve.connection(), FakeSide.response(FakeSide.idOf(first.frame()), 200, "late"));
    }
    assertEquals("late", text(stuck.join()));
  }

  /** Initial buffers for heads are small; a long head must enlarge them and not be refused. */
  @Test
  void longRequestAndResponseHeadsAreForwardedUnchanged() throws Exception {
    String requestHeader = "a".repeat(12 * 1024);
    String responseHeader = "t".repeat(30 * 1024);
    CompletableFuture<HttpResponse<byte[]>> lookup =
        entry.sendAsync(entry.request("/parking/spaces").header("Trip", requestHeader).GET());
    FakeSide.ReceivedFrame request = side.next();
    assertTrue(
        request.frame().getRequestStart().getHeadersList().stream()
            .anyMatch(header -> header.getValue().equals(requestHeader)));
    Frame.Builder response =
        FakeSide.response(FakeSide.idOf(request.frame()), 200, "free").toBuilder();
    response.getAnswerStartBuilder().addHeadersBuilder().setName("Trip").setValue(responseHeader);
    side.send(request.connection(), response.build());

    assertEquals(responseHeader, lookup.join().headers().firstValue("Trip").orElse(""));
    assertEquals("free", text(lookup.join()));
  }

  /** A charge that provably did not run may be sent again, under a new id. */
  @Test
  void chargeProvenNotRunIsRetriedUnderNewId() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> charge = charge();
    FakeSide.ReceivedFrame request = side.next();
    AttemptId id = FakeSide.idOf(request.frame());
    FakeSide.ReceivedFrame resolve = stallAndAwaitResolve(request);
    side.send(resolve.connection(), FakeSide.resolution(id, Resolution.State.NOT_RUN));

    FakeSide.ReceivedFrame again = side.next();
    assertNotEquals(id, FakeSide.idOf(again.frame()));
    side.send(again.connection(), FakeSide.response(FakeSide.idOf(again.frame()), 200, "charged"));

    assertEquals("charged", text(charge.join()));
  }

  /**
   * The side process no longer knows the request, or was replaced, so whether the charge ran is
   * unknown. A retry may charge twice; the caller must receive an unknown outcome.
   */
  @Test
  void chargeOfUnknownOutcomeIsNotRetried() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> charge = charge();
    FakeSide.ReceivedFrame request = side.next();
    FakeSide.ReceivedFrame resolve = stallAndAwaitResolve(request);
    side.send(
        resolve.connection(),
        FakeSide.resolution(FakeSide.idOf(request.frame()), Resolution.State.FORGOTTEN));

    HttpResponse<byte[]> response = charge.join();
    assertEquals(502, response.statusCode());
    assertTrue(text(response).contains("\"kind\":\"outcome-unknown\""), () -> text(response));
    assertTrue(text(response).contains("\"execution\":\"unknown\""), () -> text(response));
    assertEquals(0, side.unreadCount());
  }

  /** An idempotent request may run twice, so it is retried. */
  @Test
  void idempotentRequestOfUnknownOutcomeIsRetried() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> lookup = lookup();
    FakeSide.ReceivedFrame request = side.next();
    FakeSide.ReceivedFrame resolve = stallAndAwaitResolve(request);
    side.send(
        resolve.connection(),
        FakeSide.resolution(FakeSide.idOf(request.frame()), Resolution.State.FORGOTTEN));

    FakeSide.ReceivedFrame again = side.next();
    side.send(again.connection(), FakeSide.response(FakeSide.idOf(again.frame()), 200, "free"));
    assertEquals("free", text(lookup.join()));
  }

  /** After a side process is killed, its charges fail as unknown at once, not at their deadline. */
  @Test
  void chargeAtKilledSideProcessFailsAsOutcomeUnknown() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> charge = charge();
    side.next();
    side.close();

    HttpResponse<byte[]> response = charge.join();
    assertEquals(502, response.statusCode());
    assertTrue(text(response).contains("outcome-unknown"), () -> text(response));
  }

  /**
   * Guards against forwarding a truncated response as complete. A body shorter than its announced
   * length is a protocol error: the connection is closed and the outcome is resolved.
   */
  @Test
  void responseShorterThanItsLengthIsNotForwarded() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> charge = charge();
    FakeSide.ReceivedFrame request = side.next();
    AttemptId id = FakeSide.idOf(request.frame());
    side.send(request.connection(), FakeSide.response(id, 200, "half", 8));

    FakeSide.ReceivedFrame resolve = side.next();
    assertTrue(resolve.frame().hasResolve());
    side.send(resolve.connection(), FakeSide.response(id, 200, "half and"));
    assertEquals("half and", text(charge.join()));
  }

  /** Responses to unknown ids, such as duplicates, must not affect other requests. */
  @Test
  void duplicateAndUnknownResponsesAreDropped() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> first = lookup();
    FakeSide.ReceivedFrame request = side.next();
    AttemptId id = FakeSide.idOf(request.frame());
    side.send(request.connection(), FakeSide.response(new AttemptId(1, 999), 200, "foreign"));
    side.send(request.connection(), FakeSide.response(id, 200, "mine"));
    side.send(request.connection(), FakeSide.response(id, 200, "mine again"));
    assertEquals("mine", text(first.join()));

    CompletableFuture<HttpResponse<byte[]>> second = lookup();
    FakeSide.ReceivedFrame next = side.next();
    side.send(next.connection(), FakeSide.response(FakeSide.idOf(next.frame()), 200, "next"));
    assertEquals("next", text(second.join()));
  }

  /** After the deadline the side process is notified, so that it does not start the request. */
  @Test
  void requestPastItsDeadlineFailsAndIsCancelled() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> charge =
        entry.sendAsync(
            entry
                .request("/parking/charge")
                .header(CallerHeaders.DEADLINE_MILLIS, "2000")
                .POST(HttpRequest.BodyPublishers.ofString("5 dollars")));
    FakeSide.ReceivedFrame request = side.next();
    assertTrue(request.frame().getRequestStart().getRemainingMillis() <= 2_000);

    FakeSide.ReceivedFrame cancel = side.next();

    assertEquals(request.frame().getRequestStart().getId(), cancel.frame().getCancel().getId());
    HttpResponse<byte[]> response = charge.join();
    assertEquals(504, response.statusCode());
    assertTrue(text(response).contains("deadline-while-running"), () -> text(response));
  }

  /** The rejection of a side process reaches the caller if no other target is left. */
  @Test
  void rejectionCarriesErrorKindAndRetryAfter() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> charge = charge();
    while (!charge.isDone()) {
      FakeSide.ReceivedFrame request = side.next();
      AttemptId id = FakeSide.idOf(request.frame());
      side.send(request.connection(), FakeSide.notRun(id, ErrorKind.OVERLOADED));
      Await.until("retried or answered", () -> charge.isDone() || side.unreadCount() > 0);
    }

    HttpResponse<byte[]> response = charge.join();
    assertEquals(503, response.statusCode());
    assertTrue(text(response).contains("\"execution\":\"not_run\""), () -> text(response));
    assertTrue(response.headers().firstValue("Retry-After").isPresent());
  }

  /**
   * In a planned stop the readiness check fails at once, new requests are served for the grace
   * time, and pending requests are completed before the process may exit.
   */
  @Test
  void plannedStopServesDuringGraceTimeAndCompletesPendingRequests() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> before = charge();
    FakeSide.ReceivedFrame first = side.next();
    assertEquals(200, entry.get(CallerServer.READY_PATH).statusCode());

    CompletableFuture<Void> drained = entry.dispatcher().beginStop(TimeUnit.SECONDS.toNanos(3));
    assertEquals(503, entry.get(CallerServer.READY_PATH).statusCode());
    assertEquals(200, entry.get(CallerServer.LIVE_PATH).statusCode());
    CompletableFuture<HttpResponse<byte[]>> during = lookup();
    FakeSide.ReceivedFrame second = side.next();
    side.send(second.connection(), FakeSide.response(FakeSide.idOf(second.frame()), 200, "free"));
    assertEquals("free", text(during.join()));

    CompletableFuture<HttpResponse<byte[]>> late = lookup();
    Await.until("answered or sent", () -> late.isDone() || side.unreadCount() > 0);
    CompletableFuture<HttpResponse<byte[]>> last = late;
    while (!last.isDone()) {
      FakeSide.ReceivedFrame sent = side.next();
      side.send(sent.connection(), FakeSide.response(FakeSide.idOf(sent.frame()), 200, "free"));
      last.join();
      CompletableFuture<HttpResponse<byte[]>> next = lookup();
      Await.until("answered or sent", () -> next.isDone() || side.unreadCount() > 0);
      last = next;
    }
    assertTrue(text(last.join()).contains("shutting-down"), "refused after the grace time");
    assertFalse(drained.isDone());
    side.send(first.connection(), FakeSide.response(FakeSide.idOf(first.frame()), 200, "charged"));

    assertEquals("charged", text(before.join()));
    drained.orTimeout(30, TimeUnit.SECONDS).join();
  }

  @Test
  void drainingTargetGetsNoRequests() throws Exception {
    side.announce(entry, true);
    assertOtherTargetServesAll();
  }

  /**
   * A side process sends GOAWAY, and an older announcement is received after it and says that the
   * target accepts work. A charge sent because of that would find the process gone and have an
   * unknown outcome.
   */
  @Test
  void goAwayOverridesStaleAnnouncement() throws Exception {
    CompletableFuture<HttpResponse<byte[]>> lookup = lookup();
    FakeSide.ReceivedFrame request = side.next();
    side.send(request.connection(), SideFrames.goAway());
    FakeSide.ReceivedFrame acknowledged = side.next();
    assertTrue(acknowledged.frame().hasGoAwayAck());
    assertSame(request.connection(), acknowledged.connection());
    side.send(request.connection(), FakeSide.response(FakeSide.idOf(request.frame()), 200, "free"));
    assertEquals("free", text(lookup.join()), "pending requests are completed");

    side.announce(entry, false);

    assertOtherTargetServesAll();
  }

  private void assertOtherTargetServesAll() throws Exception {
    try (FakeSide other = new FakeSide("vm-2", 1, 0)) {
      other.announce(entry, false);
      entry.awaitTargets(2);
      for (int i = 0; i < 20; i++) {
        CompletableFuture<HttpResponse<byte[]>> lookup = lookup();
        FakeSide.ReceivedFrame request = other.next();
        Frame response = FakeSide.response(FakeSide.idOf(request.frame()), 200, "free");
        LinkConnection connection = request.connection();
        other.send(connection, response);
        assertEquals(200, lookup.join().statusCode());
      }
    }
    assertEquals(0, side.unreadCount());
  }
}
