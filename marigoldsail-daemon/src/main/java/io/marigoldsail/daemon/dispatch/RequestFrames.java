package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.FrameStream;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.RequestBody;
import io.marigoldsail.protocol.RequestId;
import io.marigoldsail.protocol.RequestStart;
import java.util.NoSuchElementException;

/** The frames of a request. */
final class RequestFrames implements FrameStream {
  private final RequestId id;
  private Frame first;
  private ByteString rest;

  /**
   * Creates the frames.
   *
   * @param start the first frame's message, without data
   * @param body the whole body
   */
  RequestFrames(RequestStart.Builder start, ByteString body) {
    this.id = start.getId();
    ByteString head = body.substring(0, Math.min(Bodies.CHUNK_BYTES, body.size()));
    this.rest = body.substring(head.size());
    start.setBodyLength(body.size()).setData(head).setLast(rest.isEmpty());
    this.first = Frame.newBuilder().setRequestStart(start).build();
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
    RequestBody.Builder body =
        RequestBody.newBuilder().setId(id).setData(chunk).setLast(rest.isEmpty());
    return Frame.newBuilder().setRequestBody(body).build();
  }

  @Override
  public void ended() {
    rest = ByteString.EMPTY;
  }
}
