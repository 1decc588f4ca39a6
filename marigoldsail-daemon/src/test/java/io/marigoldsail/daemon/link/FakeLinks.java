package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.function.Consumer;

/** Connections for tests on virtual time. */
public final class FakeLinks {
  private FakeLinks() {}

  /** Returns an open connection that passes each sent frame to the receiver at once. */
  public static LinkConnection sendingTo(Consumer<Frame> receiver, LinkLoop loop) {
    ChannelOutboundHandlerAdapter handler =
        new ChannelOutboundHandlerAdapter() {
          @Override
          public void write(ChannelHandlerContext context, Object frame, ChannelPromise promise) {
            receiver.accept((Frame) frame);
          }
        };
    return new LinkConnection(new EmbeddedChannel(handler), loop);
  }

  /** Returns an open connection without a peer. */
  public static LinkConnection withoutPeer(LinkLoop loop) {
    return new LinkConnection(new EmbeddedChannel(), loop);
  }

  /** Returns an open connection whose peer is the consumer, which receives each frame at once. */
  public static LinkConnection to(LinkLoop loop, Consumer<Frame> peer) {
    return new LinkConnection(new EmbeddedChannel(new Receiver(peer)), loop);
  }

  private static final class Receiver extends ChannelOutboundHandlerAdapter {
    private final Consumer<Frame> peer;

    Receiver(Consumer<Frame> peer) {
      this.peer = peer;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      peer.accept((Frame) message);
    }
  }
}
