package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;
import java.util.Iterator;

/**
 * The frames of one long body, created one at a time as they are sent. Contains at least one frame.
 */
public interface FrameStream extends Iterator<Frame> {
  /** Called once, after the last frame was taken or when the remaining frames are discarded. */
  void ended();
}
