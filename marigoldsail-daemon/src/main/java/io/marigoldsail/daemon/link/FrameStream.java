package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;
import java.util.Iterator;

/** The frames of one long body, made one by one as they are sent; holds at least one frame. */
public interface FrameStream extends Iterator<Frame> {
  /** Told once that the last frame was handed on or that the rest never will be. */
  void ended();
}
