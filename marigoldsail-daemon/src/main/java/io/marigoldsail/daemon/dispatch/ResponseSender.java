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
final class ResponseSender {
  /**
   * What a kept answer holds besides its bytes: the objects of the frame and its headers. Without
   * it 20,000 short answers filled the old generation of a 40 MB heap, and two full collections a
   * second held up one request in a hundred for 45 ms.
   */
  private static final int RETAINED_OVERHEAD_BYTES = 1_024;

  private static final long UNREACHABLE_RETRY_AFTER_MILLIS = 1_000;

  private final LinkLoop loop;
  private final AttemptTable<Frame> attemptTable;
  private final Supplier<TargetReport> report;
  private final EventRecorder events;
  private final Map<LinkConnection, UnacknowledgedResponses> unacknowledged = new HashMap<>();

  ResponseSender(
      LinkLoop loop,
      AttemptTable<Frame> ledger,
      Supplier<TargetReport> report,
      EventRecorder events) {
    this.loop = loop;
    this.attemptTable = ledger;
    this.report = report;
    this.events = events;
  }

  /** Why a request is not run. */
  record Rejection(ErrorKind kind, String detail, long retryAfterMillis) {}

  /** Refuses a request that has not started, with a tombstone on its id. */
  void reject(LinkConnection connection, AttemptId id, String label, Rejection refusal) {
    if (!attemptTable.markNotRun(id, loop.now())) {
      sendOutcomeUnknown(connection, id);
      return;
    }
    sendNotRun(connection, id, label, refusal);
  }

  /** Refuses a request that was started, on proof that its target saw no byte of it. */
  void rejectNotSent(SideRequest request, Rejection refusal) {
    attemptTable.markUndelivered(request.id(), loop.now());
    sendNotRun(request.responseConnection(), request.id(), request.start().getLabel(), refusal);
  }

  /** Answers a copy of a request that was refused before. */
  void resendRejection(LinkConnection connection, AttemptId id) {
    connection.send(
        SideFrames.notRun(id, ErrorKind.OVERLOADED, "given up before", 0, report.get()));
  }

  /** Answers a copy of a request that may have run. */
  void sendOutcomeUnknown(LinkConnection connection, AttemptId id) {
    connection.send(SideFrames.failed(id, ErrorKind.OUTCOME_UNKNOWN, "seen before", report.get()));
  }

  /** Sends a kept answer anew, to the connection on which it was asked for. */
  void resend(LinkConnection connection, AttemptId id, Frame answer) {
    send(connection, id, answer);
  }

  /**
   * Drops the answers that the entry at the other end has, by how many it read on the connection.
   *
   * @throws BrokenFrameException if it claims more than were sent
   */
  void acknowledged(LinkConnection connection, long read) throws BrokenFrameException {
    UnacknowledgedResponses sent = unacknowledged.get(connection);
    if (sent == null) {
      if (read != 0) {
        throw new BrokenFrameException(read + " answers read, none sent");
      }
      return;
    }
    sent.acknowledge(read, id -> attemptTable.acknowledged(id, loop.now()));
  }

  /** Forgets what was sent on the connection; it may yet be asked for on another one. */
  void connectionClosed(LinkConnection connection) {
    unacknowledged.remove(connection);
  }

  /** Passes on what came of a started request. */
  void sendOutcome(SideRequest request, TargetOutcome outcome) {
    if (outcome instanceof TargetOutcome.Responded answered) {
      sendResponse(request, answered);
    } else if (outcome instanceof TargetOutcome.NotSent never) {
      rejectNotSent(
          request,
          new Rejection(
              ErrorKind.TARGET_UNREACHABLE, never.detail(), UNREACHABLE_RETRY_AFTER_MILLIS));
    } else if (outcome instanceof TargetOutcome.NoResponse lost) {
      sendFailure(request, ErrorKind.OUTCOME_UNKNOWN, lost.detail());
    } else if (outcome instanceof TargetOutcome.InvalidResponse broken) {
      sendFailure(request, ErrorKind.TARGET_BROKEN_ANSWER, broken.detail());
    }
  }

  private void sendNotRun(
      LinkConnection connection, AttemptId id, String label, Rejection refusal) {
    events.record(
        Event.of(EventKind.REQUEST_REFUSED)
            .withRequest(label)
            .withDetail(refusal.kind().code() + ": " + refusal.detail()));
    connection.send(
        SideFrames.notRun(
            id, refusal.kind(), refusal.detail(), refusal.retryAfterMillis(), report.get()));
  }

  private void sendFailure(SideRequest request, ErrorKind kind, String detail) {
    events.record(
        Event.of(EventKind.REQUEST_FAILED)
            .withRequest(request.start().getLabel())
            .withDetail(kind.code() + ": " + detail));
    Frame frame = SideFrames.failed(request.id(), kind, detail, report.get());
    attemptTable.done(request.id(), frame, 0, loop.now());
    send(request.responseConnection(), request.id(), frame);
  }

  private void sendResponse(SideRequest request, TargetOutcome.Responded answered) {
    events.record(
        Event.of(EventKind.REQUEST_ANSWERED)
            .withRequest(request.start().getLabel())
            .withDetail("status " + answered.status()));
    AnswerStart start = SideFrames.answerStart(request.id(), answered, report.get());
    if (answered.body().size() > BodyLimits.MAX_CHUNK_BYTES) {
      attemptTable.doneWithoutResponse(request.id(), loop.now());
      request
          .responseConnection()
          .sendAll(new ResponseFrames(start, answered.body(), answered.release()));
      return;
    }
    answered.release().run();
    AnswerStart whole = start.toBuilder().setData(answered.body()).setLast(true).build();
    Frame frame = Frame.newBuilder().setAnswerStart(whole).build();
    long held = frame.getSerializedSize() + RETAINED_OVERHEAD_BYTES;
    attemptTable.done(request.id(), frame, held, loop.now());
    send(request.responseConnection(), request.id(), frame);
  }

  private void send(LinkConnection connection, AttemptId id, Frame frame) {
    connection.send(frame);
    if (frame.hasAnswerStart() && connection.isOpen()) {
      unacknowledged.computeIfAbsent(connection, opened -> new UnacknowledgedResponses()).sent(id);
    }
  }
}
