package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.AnswerBody;
import io.marigoldsail.protocol.AnswerStart;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.RequestId;

/** The frames of a long answer. */
final class ResponseFrames extends ChunkedFrames {
  private final RequestId id;
  private final Runnable ended;

  /**
   * Creates the frames.
   *
   * @param start the first frame's message, without data
   * @param body the whole body
   * @param ended told when no more is sent
   */
  ResponseFrames(AnswerStart start, ByteString body, Runnable ended) {
    super(firstFrame(start, body), body);
    this.id = start.getId();
    this.ended = ended;
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
    ended.run();
  }
}
