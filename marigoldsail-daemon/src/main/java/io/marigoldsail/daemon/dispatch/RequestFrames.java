package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.RequestBody;
import io.marigoldsail.protocol.RequestId;
import io.marigoldsail.protocol.RequestStart;

/** The frames of a request. */
final class RequestFrames extends ChunkedFrames {
  private final RequestId id;

  /**
   * Creates the frames.
   *
   * @param start the first frame's message, without data
   * @param body the complete body
   */
  RequestFrames(RequestStart.Builder start, ByteString body) {
    super(firstFrame(start, body), body);
    this.id = start.getId();
  }

  private static Frame firstFrame(RequestStart.Builder start, ByteString body) {
    start.setBodyLength(body.size()).setData(firstChunk(body)).setLast(fitsFirstFrame(body));
    return Frame.newBuilder().setRequestStart(start).build();
  }

  @Override
  Frame chunkFrame(ByteString data, boolean last) {
    RequestBody.Builder body = RequestBody.newBuilder().setId(id).setData(data).setLast(last);
    return Frame.newBuilder().setRequestBody(body).build();
  }
}
