package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.AttemptId;
import io.marigoldsail.dispatch.AttemptTable;
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
 * Gives entries their answers, and notes in the ledger what was said before it is sent.
 *
 * <p>Confined to the loop's thread.
 */
final class SideAnswers {
  /**
   * What a kept answer holds besides its bytes: the objects of the frame and its headers. Without
   * it 20,000 short answers filled the old generation of a 40 MB heap, and two full collections a
   * second held up one request in a hundred for 45 ms.
   */
  private static final int KEPT_OVERHEAD_BYTES = 1_024;

  private static final long UNREACHABLE_MILLIS = 1_000;

  private final LinkLoop loop;
  private final AttemptTable<Frame> ledger;
  private final Supplier<TargetReport> report;
  private final EventRecorder events;
  private final Map<LinkConnection, UnreadAnswers> unread = new HashMap<>();

  SideAnswers(
      LinkLoop loop,
      AttemptTable<Frame> ledger,
      Supplier<TargetReport> report,
      EventRecorder events) {
    this.loop = loop;
    this.ledger = ledger;
    this.report = report;
    this.events = events;
  }

  /** Why a request is not run. */
  record Refusal(ErrorKind kind, String detail, long retryAfterMillis) {}

  /** Refuses a request that has not started, with a tombstone on its id. */
  void refuse(LinkConnection connection, AttemptId id, String label, Refusal refusal) {
    if (!ledger.markNotRun(id, loop.now())) {
      sayForgotten(connection, id);
      return;
    }
    sayNotRun(connection, id, label, refusal);
  }

  /** Refuses a request that was started, on proof that its target saw no byte of it. */
  void neverReached(SideRequest request, Refusal refusal) {
    ledger.markUndelivered(request.id(), loop.now());
    sayNotRun(request.answerTo(), request.id(), request.start().getLabel(), refusal);
  }

  /** Answers a copy of a request that was refused before. */
  void repeatRefusal(LinkConnection connection, AttemptId id) {
    connection.send(
        SideFrames.notRun(id, ErrorKind.OVERLOADED, "given up before", 0, report.get()));
  }

  /** Answers a copy of a request that may have run. */
  void sayForgotten(LinkConnection connection, AttemptId id) {
    connection.send(SideFrames.failed(id, ErrorKind.OUTCOME_UNKNOWN, "seen before", report.get()));
  }

  /** Sends a kept answer anew, to the connection on which it was asked for. */
  void repeat(LinkConnection connection, AttemptId id, Frame answer) {
    send(connection, id, answer);
  }

  /**
   * Drops the answers that the entry at the other end has, by how many it read on the connection.
   *
   * @throws BrokenFrameException if it claims more than were sent
   */
  void acknowledged(LinkConnection connection, long read) throws BrokenFrameException {
    UnreadAnswers sent = unread.get(connection);
    if (sent == null) {
      if (read != 0) {
        throw new BrokenFrameException(read + " answers read, none sent");
      }
      return;
    }
    sent.read(read, id -> ledger.acknowledged(id, loop.now()));
  }

  /** Forgets what was sent on the connection; it may yet be asked for on another one. */
  void closed(LinkConnection connection) {
    unread.remove(connection);
  }

  /** Passes on what came of a started request. */
  void give(SideRequest request, TargetOutcome outcome) {
    if (outcome instanceof TargetOutcome.Answered answered) {
      answer(request, answered);
    } else if (outcome instanceof TargetOutcome.NeverSent never) {
      neverReached(
          request, new Refusal(ErrorKind.TARGET_UNREACHABLE, never.detail(), UNREACHABLE_MILLIS));
    } else if (outcome instanceof TargetOutcome.Lost lost) {
      fail(request, ErrorKind.OUTCOME_UNKNOWN, lost.detail());
    } else if (outcome instanceof TargetOutcome.BrokenAnswer broken) {
      fail(request, ErrorKind.TARGET_BROKEN_ANSWER, broken.detail());
    }
  }

  private void sayNotRun(LinkConnection connection, AttemptId id, String label, Refusal refusal) {
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

  private void answer(SideRequest request, TargetOutcome.Answered answered) {
    events.record(
        Event.of(EventKind.REQUEST_ANSWERED)
            .withRequest(request.start().getLabel())
            .withDetail("status " + answered.status()));
    AnswerStart start = SideFrames.answerStart(request.id(), answered, report.get());
    if (answered.body().size() > Bodies.CHUNK_BYTES) {
      ledger.doneWithoutResponse(request.id(), loop.now());
      request.answerTo().sendAll(new AnswerFrames(start, answered.body(), answered.release()));
      return;
    }
    answered.release().run();
    AnswerStart whole = start.toBuilder().setData(answered.body()).setLast(true).build();
    Frame frame = Frame.newBuilder().setAnswerStart(whole).build();
    long held = frame.getSerializedSize() + KEPT_OVERHEAD_BYTES;
    ledger.done(request.id(), frame, held, loop.now());
    send(request.answerTo(), request.id(), frame);
  }

  private void send(LinkConnection connection, AttemptId id, Frame frame) {
    connection.send(frame);
    if (frame.hasAnswerStart() && connection.isOpen()) {
      unread.computeIfAbsent(connection, opened -> new UnreadAnswers()).sent(id);
    }
  }
}
