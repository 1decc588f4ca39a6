package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.dispatch.AttemptId;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.protocol.AnswerStart;
import io.marigoldsail.protocol.Failed;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.GoAway;
import io.marigoldsail.protocol.Header;
import io.marigoldsail.protocol.NotRun;
import io.marigoldsail.protocol.Pong;
import io.marigoldsail.protocol.RequestId;
import io.marigoldsail.protocol.RequestStart;
import io.marigoldsail.protocol.Resolution;
import io.marigoldsail.protocol.TargetReport;
import java.util.ArrayList;
import java.util.List;

/** Creates the frames that a side process sends on request connections. */
final class SideFrames {
  private SideFrames() {}

  static RequestId toMessage(AttemptId id) {
    return RequestId.newBuilder()
        .setEntryIncarnation(id.entryIncarnation())
        .setSequence(id.sequence())
        .build();
  }

  static AttemptId fromMessage(RequestId message) {
    return new AttemptId(message.getEntryIncarnation(), message.getSequence());
  }

  static Frame notRun(
      AttemptId id, ErrorKind kind, String detail, long retryAfterMillis, TargetReport report) {
    NotRun.Builder notRun =
        NotRun.newBuilder()
            .setId(toMessage(id))
            .setErrorKind(kind.code())
            .setDetail(detail)
            .setRetryAfterMillis(retryAfterMillis)
            .setReport(report);
    return Frame.newBuilder().setNotRun(notRun).build();
  }

  static Frame failed(AttemptId id, ErrorKind kind, String detail, TargetReport report) {
    Failed.Builder failed =
        Failed.newBuilder()
            .setId(toMessage(id))
            .setErrorKind(kind.code())
            .setDetail(detail)
            .setReport(report);
    return Frame.newBuilder().setFailed(failed).build();
  }

  static AnswerStart answerStart(
      AttemptId id, TargetOutcome.Responded responded, TargetReport report) {
    return AnswerStart.newBuilder()
        .setId(toMessage(id))
        .setStatus(responded.status())
        .addAllHeaders(responded.headers())
        .setBodyLength(responded.body().size())
        .setReport(report)
        .build();
  }

  static Frame resolution(AttemptId id, Resolution.State state) {
    return Frame.newBuilder()
        .setResolution(Resolution.newBuilder().setId(toMessage(id)).setState(state))
        .build();
  }

  static Frame pong(long nonce) {
    return Frame.newBuilder().setPong(Pong.newBuilder().setNonce(nonce)).build();
  }

  static Frame goAway() {
    return Frame.newBuilder().setGoAway(GoAway.getDefaultInstance()).build();
  }

  /** Returns the request for the target, with the request id of the timeline as a header. */
  static TargetRequest targetRequest(RequestStart start, ByteString body, long deadline) {
    Header id =
        Header.newBuilder().setName(CallerHeaders.REQUEST_ID).setValue(start.getLabel()).build();
    List<Header> headers = new ArrayList<>(start.getHeadersList());
    headers.add(id);
    return new TargetRequest(start.getMethod(), start.getPath(), headers, body, deadline);
  }
}
