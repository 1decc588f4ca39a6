package io.marigoldsail.daemon.link;

import io.marigoldsail.protocol.Frame;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;

/** Builds the channel pipeline: frames of limited length, protobuf, and the listener. */
final class LinkInitializer extends ChannelInitializer<Channel> {
  private static final int LENGTH_BYTES = 4;
  private static final int FLUSH_AFTER_FRAMES = 64;
  private static final WriteBufferWaterMark WRITE_MARKS =
      new WriteBufferWaterMark(128 * 1024, 256 * 1024);

  private final LinkLoop loop;
  private final LinkListener listener;

  LinkInitializer(LinkLoop loop, LinkListener listener) {
    this.loop = loop;
    this.listener = listener;
  }

  @Override
  protected void initChannel(Channel channel) {
    channel.config().setWriteBufferWaterMark(WRITE_MARKS);
    channel
        .pipeline()
        // Frames written while one batch is read are flushed in one system call.
        .addLast(new FlushConsolidationHandler(FLUSH_AFTER_FRAMES, true))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                FrameLimit.MAX_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new ProtobufEncoder())
        .addLast(new LinkHandler(loop, listener));
  }
}
