package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;
import java.util.NoSuchElementException;

/** A stream of one frame. */
final class SingleFrameStream implements FrameStream {
  private final Frame frame;
  private boolean taken;

  SingleFrameStream(Frame frame) {
    this.frame = frame;
  }

  @Override
  public boolean hasNext() {
    return !taken;
  }

  @Override
  public Frame next() {
    if (taken) {
      throw new NoSuchElementException("the only frame was taken");
    }
    taken = true;
    return frame;
  }

  @Override
  public void ended() {}
}
