package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.RequestLedger;
import io.marigoldsail.dispatch.WireId;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.protocol.AnswerStart;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.TargetReport;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Sends responses and rejections to entries, and records each in the ledger before it is sent.
 *
 * <p>Confined to the loop's thread.
 */
final class SideAnswers {
  /**
   * The memory of a retained response besides its bytes: the objects of the frame and its headers.
   * When these were not counted, 20,000 short responses filled the old generation of a 40 MB heap,
   * and two full collections a second delayed one request in a hundred by 45 ms.
   */
  private static final int KEPT_OVERHEAD_BYTES = 1_024;

  private static final long UNREACHABLE_MILLIS = 1_000;

  private final LinkLoop loop;
  private final RequestLedger<Frame> ledger;
  private final Supplier<TargetReport> report;
  private final EventRecorder events;
  private final Map<LinkConnection, UnreadAnswers> unread = new HashMap<>();

  SideAnswers(
      LinkLoop loop,
      RequestLedger<Frame> ledger,
      Supplier<TargetReport> report,
      EventRecorder events) {
    this.loop = loop;
    this.ledger = ledger;
    this.report = report;
    this.events = events;
  }

  /** The reason why a request is not run. */
  record Refusal(ErrorKind kind, String detail, long retryAfterMillis) {}

  /** Rejects a request that has not started and writes a tombstone for its id. */
  void refuse(LinkConnection connection, WireId id, String label, Refusal refusal) {
    if (!ledger.bury(id, loop.now())) {
      sayForgotten(connection, id);
      return;
    }
    sayNotRun(connection, id, label, refusal);
  }

  /** Rejects a started request of which provably no byte was sent to the target. */
  void neverReached(SideRequest request, Refusal refusal) {
    ledger.neverReached(request.id(), loop.now());
    sayNotRun(request.answerTo(), request.id(), request.start().getLabel(), refusal);
  }

  /** Rejects a copy of a request that was rejected or cancelled before. */
  void repeatRefusal(LinkConnection connection, WireId id) {
    connection.send(
        SideFrames.notRun(id, ErrorKind.OVERLOADED, "rejected or cancelled before", 0, report.get()));
  }

  /** Reports the outcome as unknown for a copy of a request that may have run. */
  void sayForgotten(LinkConnection connection, WireId id) {
    connection.send(SideFrames.failed(id, ErrorKind.OUTCOME_UNKNOWN, "received before and may have run", report.get()));
  }

  /** Sends a retained response again, on the connection that requested it. */
  void repeat(LinkConnection connection, WireId id, Frame response) {
    send(connection, id, response);
  }

  /**
   * Drops the responses that the entry has acknowledged.
   *
   * @param read the number of responses that the entry has read on the connection so far
   * @throws BrokenFrameException if it is more than were sent
   */
  void acknowledged(LinkConnection connection, long read) throws BrokenFrameException {
    UnreadAnswers sent = unread.get(connection);
    if (sent == null) {
      if (read != 0) {
        throw new BrokenFrameException(read + " responses acknowledged, none sent");
      }
      return;
    }
    sent.read(read, id -> ledger.acknowledged(id, loop.now()));
  }

  /** Drops the state of a connection; its responses may still be requested on another one. */
  void closed(LinkConnection connection) {
    unread.remove(connection);
  }

  /** Sends the outcome of a started request. */
  void give(SideRequest request, TargetOutcome outcome) {
    if (outcome instanceof TargetOutcome.Answered responded) {
      answer(request, responded);
    } else if (outcome instanceof TargetOutcome.NeverSent notSent) {
      neverReached(
          request, new Refusal(ErrorKind.TARGET_UNREACHABLE, notSent.detail(), UNREACHABLE_MILLIS));
    } else if (outcome instanceof TargetOutcome.Lost missing) {
      fail(request, ErrorKind.OUTCOME_UNKNOWN, missing.detail());
    } else if (outcome instanceof TargetOutcome.BrokenAnswer invalid) {
      fail(request, ErrorKind.TARGET_BROKEN_ANSWER, invalid.detail());
    }
  }

  private void sayNotRun(LinkConnection connection, WireId id, String label, Refusal refusal) {
    events.record(
        Event.of(EventKind.REQUEST_REFUSED)
            .withRequest(label)
            .withDetail(refusal.kind().code() + ": " + refusal.detail()));
    connection.send(
        SideFrames.notRun(
            id, refusal.kind(), refusal.detail(), refusal.retryAfterMillis(), report.get()));
  }

  private void fail(SideRequest request, ErrorKind kind, String detail) {
    events.record(
        Event.of(EventKind.REQUEST_FAILED)
            .withRequest(request.start().getLabel())
            .withDetail(kind.code() + ": " + detail));
    Frame frame = SideFrames.failed(request.id(), kind, detail, report.get());
    ledger.done(request.id(), frame, 0, loop.now());
    send(request.answerTo(), request.id(), frame);
  }

  private void answer(SideRequest request, TargetOutcome.Answered responded) {
    events.record(
        Event.of(EventKind.REQUEST_ANSWERED)
            .withRequest(request.start().getLabel())
            .withDetail("status " + responded.status()));
    AnswerStart start = SideFrames.answerStart(request.id(), responded, report.get());
    if (responded.body().size() > Bodies.CHUNK_BYTES) {
      ledger.doneUnkept(request.id(), loop.now());
      request.answerTo().sendAll(new AnswerFrames(start, responded.body(), responded.release()));
      return;
    }
    responded.release().run();
    AnswerStart complete = start.toBuilder().setData(responded.body()).setLast(true).build();
    Frame frame = Frame.newBuilder().setAnswerStart(complete).build();
    long retainedBytes = frame.getSerializedSize() + KEPT_OVERHEAD_BYTES;
    ledger.done(request.id(), frame, retainedBytes, loop.now());
    send(request.answerTo(), request.id(), frame);
  }

  private void send(LinkConnection connection, WireId id, Frame frame) {
    connection.send(frame);
    if (frame.hasAnswerStart() && connection.isOpen()) {
      unread.computeIfAbsent(connection, opened -> new UnreadAnswers()).sent(id);
    }
  }
}
