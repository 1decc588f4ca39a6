package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.FrameStream;
import io.marigoldsail.protocol.AnswerBody;
import io.marigoldsail.protocol.AnswerStart;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.RequestId;
import java.util.NoSuchElementException;

/** The frames of a long answer. */
final class AnswerFrames implements FrameStream {
  private final RequestId id;
  private final Runnable ended;
  private Frame first;
  private ByteString rest;

  /**
   * Creates the frames.
   *
   * @param start the first frame's message, without data
   * @param body the whole body
   * @param ended told when no more is sent
   */
  AnswerFrames(AnswerStart start, ByteString body, Runnable ended) {
    this.id = start.getId();
    this.ended = ended;
    ByteString head = body.substring(0, Math.min(Bodies.CHUNK_BYTES, body.size()));
    this.rest = body.substring(head.size());
    this.first =
        Frame.newBuilder()
            .setAnswerStart(start.toBuilder().setData(head).setLast(rest.isEmpty()))
            .build();
  }

  @Override
  public boolean hasNext() {
    return first != null || !rest.isEmpty();
  }

  @Override
  public Frame next() {
    if (first != null) {
      Frame frame = first;
      first = null;
      return frame;
    }
    if (rest.isEmpty()) {
      throw new NoSuchElementException();
    }
    ByteString chunk = rest.substring(0, Math.min(Bodies.CHUNK_BYTES, rest.size()));
    rest = rest.substring(chunk.size());
    AnswerBody.Builder body =
        AnswerBody.newBuilder().setId(id).setData(chunk).setLast(rest.isEmpty());
    return Frame.newBuilder().setAnswerBody(body).build();
  }

  @Override
  public void ended() {
    rest = ByteString.EMPTY;
    ended.run();
  }
}
