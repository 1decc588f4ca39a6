package io.marigoldsail.daemon.link;

import com.google.common.base.Ascii;
import io.marigoldsail.daemon.capacity.OutOfMemory;
import io.marigoldsail.protocol.Frame;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;

/** Passes the frames and the close of one connection to its listener. */
final class LinkHandler extends SimpleChannelInboundHandler<Frame> {
  private static final System.Logger LOG = System.getLogger(LinkHandler.class.getName());

  private static final int MAX_REASON_LENGTH = 300;

  private final LinkLoop loop;
  private final LinkListener listener;
  private LinkConnection connection;

  LinkHandler(LinkLoop loop, LinkListener listener) {
    this.loop = loop;
    this.listener = listener;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    connection = new LinkConnection(context.channel(), loop);
    listener.opened(connection);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame)
      throws BrokenFrameException {
    if (!connection.isOpen()) {
      return;
    }
    connection.frameReceived(loop.now());
    if (frame.getStamp() != 0) {
      loop.hybridClock().observe(frame.getStamp());
    }
    listener.received(connection, frame);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (connection != null) {
      connection.writePending();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (connection != null) {
      connection.discardStreams();
      listener.closed(connection, connection.closeReason());
    }
  }

  /** Logs an invalid frame and closes its connection; other connections are not affected. */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    OutOfMemory.exitIfCause(cause);
    // The message may quote what the peer sent.
    String reason =
        Ascii.truncate(
            cause.getClass().getSimpleName() + ": " + cause.getMessage(), MAX_REASON_LENGTH, "...");
    if (connection != null && connection.isOpen()) {
      System.Logger.Level level =
          cause instanceof IOException ? System.Logger.Level.INFO : System.Logger.Level.WARNING;
      LOG.log(level, "event=link-broken peer={0} reason=\"{1}\"", connection, reason);
      connection.close(reason);
      return;
    }
    context.close();
  }
}
