package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.FrameStream;
import io.marigoldsail.protocol.Frame;
import java.util.NoSuchElementException;

/** The frames of a message with a body: the first starts it, the others carry one chunk each. */
abstract class ChunkedFrames implements FrameStream {
  private Frame first;
  private ByteString rest;

  /**
   * Creates the frames.
   *
   * @param first the first frame, with the first chunk
   * @param body the complete body
   */
  ChunkedFrames(Frame first, ByteString body) {
    this.first = first;
    this.rest = body.substring(head(body).size());
  }

  /** Returns the first chunk of the body. */
  static ByteString head(ByteString body) {
    return body.substring(0, Math.min(Bodies.CHUNK_BYTES, body.size()));
  }

  /** Returns whether the complete body fits the first frame. */
  static boolean fitsFirst(ByteString body) {
    return body.size() <= Bodies.CHUNK_BYTES;
  }

  /** Returns the frame of a chunk after the first. */
  abstract Frame chunk(ByteString data, boolean last);

  @Override
  public final boolean hasNext() {
    return first != null || !rest.isEmpty();
  }

  @Override
  public final Frame next() {
    if (first != null) {
      Frame frame = first;
      first = null;
      return frame;
    }
    if (rest.isEmpty()) {
      throw new NoSuchElementException();
    }
    ByteString data = head(rest);
    rest = rest.substring(data.size());
    return chunk(data, rest.isEmpty());
  }

  @Override
  public void ended() {
    rest = ByteString.EMPTY;
  }
}
