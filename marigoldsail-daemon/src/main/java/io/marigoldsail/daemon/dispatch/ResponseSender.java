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
 * Sends responses and rejections to entries, and records each in the attempt table before it is
 * sent.
 *
 * <p>Confined to the loop's thread.
 */
final class ResponseSender {
  /**
   * The memory of a retained response besides its bytes: the objects of the frame and its headers.
   * When these were not counted, 20,000 short responses filled the old generation of a 40 MB heap,
   * and two full collections a second delayed one request in a hundred by 45 ms.
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
      AttemptTable<Frame> attemptTable,
      Supplier<TargetReport> report,
      EventRecorder events) {
    this.loop = loop;
    this.attemptTable = attemptTable;
    this.report = report;
    this.events = events;
  }

  /** The reason why a request is not run. */
  record Rejection(ErrorKind kind, String detail, long retryAfterMillis) {}

  /** Rejects a request that has not started and writes a tombstone for its id. */
  void reject(LinkConnection connection, AttemptId id, String label, Rejection rejection) {
    if (!attemptTable.markNotRun(id, loop.now())) {
      sendOutcomeUnknown(connection, id);
      return;
    }
    sendNotRun(connection, id, label, rejection);
  }

  /** Rejects a started request of which provably no byte was sent to the target. */
  void rejectNotSent(SideRequest request, Rejection rejection) {
    attemptTable.markUndelivered(request.id(), loop.now());
    sendNotRun(request.responseConnection(), request.id(), request.start().getLabel(), rejection);
  }

  /** Rejects a copy of a request that was rejected or cancelled before. */
  void resendRejection(LinkConnection connection, AttemptId id) {
    connection.send(
        SideFrames.notRun(
            id, ErrorKind.OVERLOADED, "rejected or cancelled before", 0, report.get()));
  }

  /** Reports the outcome as unknown for a copy of a request that may have run. */
  void sendOutcomeUnknown(LinkConnection connection, AttemptId id) {
    connection.send(
        SideFrames.failed(
            id, ErrorKind.OUTCOME_UNKNOWN, "received before and may have run", report.get()));
  }

  /** Sends a retained response again, on the connection that requested it. */
  void resend(LinkConnection connection, AttemptId id, Frame response) {
    send(connection, id, response);
  }

  /**
   * Drops the responses that the entry has acknowledged.
   *
   * @param read the number of responses that the entry has read on the connection so far
   * @throws BrokenFrameException if it is more than were sent
   */
  void acknowledged(LinkConnection connection, long read) throws BrokenFrameException {
    UnacknowledgedResponses sent = unacknowledged.get(connection);
    if (sent == null) {
      if (read != 0) {
        throw new BrokenFrameException(read + " responses acknowledged, none sent");
      }
      return;
    }
    sent.acknowledge(read, id -> attemptTable.acknowledged(id, loop.now()));
  }

  /** Drops the state of a connection; its responses may still be requested on another one. */
  void connectionClosed(LinkConnection connection) {
    unacknowledged.remove(connection);
  }

  /** Sends the outcome of a started request. */
  void sendOutcome(SideRequest request, TargetOutcome outcome) {
    if (outcome instanceof TargetOutcome.Responded responded) {
      sendResponse(request, responded);
    } else if (outcome instanceof TargetOutcome.NotSent notSent) {
      rejectNotSent(
          request,
          new Rejection(
              ErrorKind.TARGET_UNREACHABLE, notSent.detail(), UNREACHABLE_RETRY_AFTER_MILLIS));
    } else if (outcome instanceof TargetOutcome.NoResponse missing) {
      sendFailure(request, ErrorKind.OUTCOME_UNKNOWN, missing.detail());
    } else if (outcome instanceof TargetOutcome.InvalidResponse invalid) {
      sendFailure(request, ErrorKind.TARGET_BROKEN_ANSWER, invalid.detail());
    }
  }

  private void sendNotRun(
      LinkConnection connection, AttemptId id, String label, Rejection rejection) {
    events.record(
        Event.of(EventKind.REQUEST_REFUSED)
            .withRequest(label)
            .withDetail(rejection.kind().code() + ": " + rejection.detail()));
    connection.send(
        SideFrames.notRun(
            id, rejection.kind(), rejection.detail(), rejection.retryAfterMillis(), report.get()));
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

  private void sendResponse(SideRequest request, TargetOutcome.Responded responded) {
    events.record(
        Event.of(EventKind.REQUEST_ANSWERED)
            .withRequest(request.start().getLabel())
            .withDetail("status " + responded.status()));
    AnswerStart start = SideFrames.answerStart(request.id(), responded, report.get());
    if (responded.body().size() > BodyLimits.MAX_CHUNK_BYTES) {
      attemptTable.doneWithoutResponse(request.id(), loop.now());
      request
          .responseConnection()
          .sendAll(new ResponseFrames(start, responded.body(), responded.release()));
      return;
    }
    responded.release().run();
    AnswerStart complete = start.toBuilder().setData(responded.body()).setLast(true).build();
    Frame frame = Frame.newBuilder().setAnswerStart(complete).build();
    long retainedBytes = frame.getSerializedSize() + RETAINED_OVERHEAD_BYTES;
    attemptTable.done(request.id(), frame, retainedBytes, loop.now());
    send(request.responseConnection(), request.id(), frame);
  }

  private void send(LinkConnection connection, AttemptId id, Frame frame) {
    connection.send(frame);
    if (frame.hasAnswerStart() && connection.isOpen()) {
      unacknowledged.computeIfAbsent(connection, opened -> new UnacknowledgedResponses()).sent(id);
    }
  }
}
