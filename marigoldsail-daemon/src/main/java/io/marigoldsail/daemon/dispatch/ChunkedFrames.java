package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.FrameStream;
import io.marigoldsail.protocol.Frame;
import java.util.NoSuchElementException;

/** The frames of a message with a body: the first starts it, the others carry one chunk each. */
abstract class ChunkedFrames implements FrameStream {
  private Frame first;
  private ByteString remaining;

  /**
   * Creates the frames.
   *
   * @param first the first frame, with the first chunk
   * @param body the complete body
   */
  ChunkedFrames(Frame first, ByteString body) {
    this.first = first;
    this.remaining = body.substring(firstChunk(body).size());
  }

  /** Returns the first chunk of the body. */
  static ByteString firstChunk(ByteString body) {
    return body.substring(0, Math.min(BodyLimits.MAX_CHUNK_BYTES, body.size()));
  }

  /** Returns whether the complete body fits the first frame. */
  static boolean fitsFirstFrame(ByteString body) {
    return body.size() <= BodyLimits.MAX_CHUNK_BYTES;
  }

  /** Returns the frame of a chunk after the first. */
  abstract Frame chunkFrame(ByteString data, boolean last);

  @Override
  public final boolean hasNext() {
    return first != null || !remaining.isEmpty();
  }

  @Override
  public final Frame next() {
    if (first != null) {
      Frame frame = first;
      first = null;
      return frame;
    }
    if (remaining.isEmpty()) {
      throw new NoSuchElementException();
    }
    ByteString data = firstChunk(remaining);
    remaining = remaining.substring(data.size());
    return chunkFrame(data, remaining.isEmpty());
  }

  @Override
  public void ended() {
    remaining = ByteString.EMPTY;
  }
}
