package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.AnswerBody;
import io.marigoldsail.protocol.AnswerStart;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.RequestId;

/** The frames of a long response. */
final class ResponseFrames extends ChunkedFrames {
  private final RequestId id;
  private final Runnable onEnded;

  /**
   * Creates the frames.
   *
   * @param start the first frame's message, without data
   * @param body the complete body
   * @param onEnded called when no more frames are sent
   */
  ResponseFrames(AnswerStart start, ByteString body, Runnable onEnded) {
    super(firstFrame(start, body), body);
    this.id = start.getId();
    this.onEnded = onEnded;
  }

  private static Frame firstFrame(AnswerStart start, ByteString body) {
    return Frame.newBuilder()
        .setAnswerStart(start.toBuilder().setData(firstChunk(body)).setLast(fitsFirstFrame(body)))
        .build();
  }

  @Override
  Frame chunkFrame(ByteString data, boolean last) {
    AnswerBody.Builder body = AnswerBody.newBuilder().setId(id).setData(data).setLast(last);
    return Frame.newBuilder().setAnswerBody(body).build();
  }

  @Override
  public void ended() {
    super.ended();
    onEnded.run();
  }
}
