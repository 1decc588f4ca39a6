package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.ArrayDeque;

/**
 * One connection between two of our processes.
 *
 * <p>Confined to the loop's thread, but for {@link #toString}. Frames sent one by one keep their
 * order. A long body goes by {@link #sendAll}, chunk by chunk as the peer takes them, so that it
 * neither fills this process's memory nor holds up the small frames of other requests.
 */
public final class LinkConnection {
  private final Channel channel;
  private final LinkLoop loop;
  private final String remote;
  private final ArrayDeque<FrameStream> streams = new ArrayDeque<>();
  private long lastReceived;
  private long responsesRead;
  private boolean unanswered;
  private long unansweredSince;
  private String closeReason = "closed by peer";

  LinkConnection(Channel channel, LinkLoop loop) {
    this.channel = channel;
    this.loop = loop;
    this.remote = String.valueOf(channel.remoteAddress());
    this.lastReceived = loop.now();
  }

  /** Sends the frame; without effect on a closed connection. */
  public void send(Frame frame) {
    write(frame);
  }

  /**
   * Sends a frame that nothing answers; without effect on a closed connection.
   *
   * <p>Guards against a sound connection that is taken for silent: what is sent between two frames
   * that ask for an answer says nothing of the peer.
   */
  public void sendOneWay(Frame frame) {
    writeStamped(frame);
  }

  /** Sends the frames one after another while the peer takes them. */
  public void sendAll(FrameStream frames) {
    if (!channel.isActive()) {
      frames.ended();
      return;
    }
    streams.add(frames);
    writePending();
  }

  /**
   * Sends the frame after the first frame of everything that was given to {@link #sendAll} before;
   * {@link #send} may overtake bodies that have not begun.
   */
  public void sendAfterQueued(Frame frame) {
    sendAll(new SingleFrameStream(frame));
  }

  /** Ends the connection; the listener is told the reason. */
  public void close(String reason) {
    if (channel.isOpen()) {
      closeReason = reason;
      channel.close();
    }
  }

  /** Returns whether everything that was sent has been handed to the operating system. */
  boolean isFlushed() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    return streams.isEmpty() && (unsent == null || unsent.totalPendingWriteBytes() == 0);
  }

  /** Returns whether frames can be sent. */
  public boolean isOpen() {
    return channel.isActive();
  }

  /** Returns when the last frame was read, in nanoseconds of the loop's clock. */
  public long lastReceived() {
    return lastReceived;
  }

  /** Counts a whole answer that was read; the next frame sent tells the peer. */
  public void countResponseRead() {
    responsesRead++;
  }

  /** Returns for how long nothing came after something was sent, in nanoseconds; else 0. */
  public long unansweredNanos(long now) {
    return unanswered ? now - unansweredSince : 0;
  }

  /** Takes now for the time of the last frame, after this process was itself frozen. */
  public void resetSilenceTimer(long now) {
    lastReceived = now;
    unansweredSince = now;
  }

  void frameReceived(long now) {
    lastReceived = now;
    unanswered = false;
  }

  String closeReason() {
    return closeReason;
  }

  /** Sends one chunk of each long body in turn until the connection has enough to write. */
  void writePending() {
    while (!streams.isEmpty() && channel.isActive() && channel.isWritable()) {
      FrameStream stream = streams.poll();
      write(stream.next());
      if (stream.hasNext()) {
        streams.add(stream);
      } else {
        stream.ended();
      }
    }
  }

  private void write(Frame frame) {
    if (!unanswered) {
      unanswered = true;
      unansweredSince = loop.now();
    }
    writeStamped(frame);
  }

  private void writeStamped(Frame frame) {
    Frame stamped =
        frame.toBuilder().setStamp(loop.hybridClock().now()).setAnswersRead(responsesRead).build();
    channel.writeAndFlush(stamped, channel.voidPromise());
  }

  void discardStreams() {
    while (!streams.isEmpty()) {
      streams.poll().ended();
    }
  }

  @Override
  public String toString() {
    return remote;
  }
}
