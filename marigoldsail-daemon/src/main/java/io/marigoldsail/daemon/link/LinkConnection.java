package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.ArrayDeque;

/**
 * A connection between two marigoldsail processes.
 *
 * <p>Confined to the loop's thread, except {@link #toString}. Frames passed to {@link #send} keep
 * their order. Long bodies are sent with {@link #sendAll}, one chunk at a time as the connection
 * accepts them, so that they neither fill this process's memory nor delay the small frames of other
 * requests.
 */
public final class LinkConnection {
  private static final System.Logger LOG = System.getLogger(LinkConnection.class.getName());

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

  /** Sends a frame that the peer responds to; does nothing if the connection is closed. */
  public void send(Frame frame) {
    write(frame);
  }

  /**
   * Sends a frame that the peer does not respond to; does nothing if the connection is closed.
   *
   * <p>Does not start the timer of {@link #unansweredNanos}: a healthy connection would otherwise
   * look unresponsive after a frame to which no response is due.
   */
  public void sendOneWay(Frame frame) {
    writeStamped(frame);
  }

  /** Sends the frames one at a time as the connection accepts them. */
  public void sendAll(FrameStream frames) {
    if (!channel.isActive()) {
      frames.ended();
      return;
    }
    streams.add(frames);
    writePending();
  }

  /**
   * Sends the frame after the first frame of every stream passed to {@link #sendAll} before. A
   * frame passed to {@link #send} may overtake streams that have not started.
   */
  public void sendAfterQueued(Frame frame) {
    sendAll(new SingleFrameStream(frame));
  }

  /** Closes the connection; the listener receives the reason. */
  public void close(String reason) {
    if (channel.isOpen()) {
      closeReason = reason;
      channel.close();
    }
  }

  /** Returns whether all sent frames have been written to the socket. */
  boolean isFlushed() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    return streams.isEmpty() && (unsent == null || unsent.totalPendingWriteBytes() == 0);
  }

  /** Returns whether the connection is open. */
  public boolean isOpen() {
    return channel.isActive();
  }

  /** Returns the time of the last received frame, in nanoseconds of the loop's clock. */
  public long lastReceived() {
    return lastReceived;
  }

  /** Counts a completely read response. The next sent frame carries the count to the peer. */
  public void countResponseRead() {
    responsesRead++;
  }

  /**
   * Returns how long ago the oldest unanswered frame was sent, in nanoseconds; 0 if a frame was
   * received since.
   */
  public long unansweredNanos(long now) {
    return unanswered ? now - unansweredSince : 0;
  }

  /**
   * Restarts the receive timers at the given time. Used after this process was paused, when a time
   * without frames does not mean that the peer is unresponsive.
   */
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

  /** Writes chunks of the queued streams in round-robin order while the channel is writable. */
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
    if (writeStamped(frame) && !unanswered) {
      unanswered = true;
      unansweredSince = loop.now();
    }
  }

  /**
   * Writes the frame unless the peer would close the connection over its length; returns whether it
   * was written. What is lost with it is less than with the connection, and all that is sent on the
   * next one.
   */
  private boolean writeStamped(Frame frame) {
    Frame stamped =
        frame.toBuilder().setStamp(loop.hybridClock().now()).setAnswersRead(responsesRead).build();
    if (!FrameLimit.admits(stamped)) {
      LOG.log(
          System.Logger.Level.ERROR,
          "event=frame-too-large peer={0} body={1} bytes={2}",
          this,
          frame.getBodyCase(),
          String.valueOf(stamped.getSerializedSize()));
      return false;
    }
    channel.writeAndFlush(stamped, channel.voidPromise());
    return true;
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
