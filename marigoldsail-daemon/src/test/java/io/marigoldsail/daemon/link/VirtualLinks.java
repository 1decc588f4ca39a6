package io.marigoldsail.daemon.link;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.HybridClock;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Links between processes on virtual time, in place of sockets. A frame takes one millisecond; the
 * frames to a process that stands still arrive once it goes on. One thread.
 */
public final class VirtualLinks {
  private static final long LATENCY_MILLIS = 1;

  /**
   * The event loop of all links: it executes tasks at once. Netty keeps a name resolver for each
   * event loop until its end, so there is one only.
   */
  private static final EventLoop IMMEDIATE = immediateLoop(new EmbeddedChannel().eventLoop());

  private final Map<SocketAddress, End> listening = new HashMap<>();
  private final List<End> ends = new ArrayList<>();

  private static EventLoop immediateLoop(EventLoop other) {
    return proxy(
        other,
        Map.of(
            "execute",
            arguments -> {
              ((Runnable) arguments[0]).run();
              return Optional.empty();
            },
            "terminationFuture",
            arguments -> Optional.of(GlobalEventExecutor.INSTANCE.newPromise())));
  }

  private interface Replacement {
    Optional<Object> call(Object[] arguments);
  }

  /** Returns the loop with some methods replaced. */
  private static EventLoop proxy(EventLoop loop, Map<String, Replacement> replaced) {
    return (EventLoop)
        Proxy.newProxyInstance(
            VirtualLinks.class.getClassLoader(),
            new Class<?>[] {EventLoop.class},
            (proxy, method, arguments) -> {
              if (replaced.containsKey(method.getName())) {
                return replaced.get(method.getName()).call(arguments).orElse(null);
              }
              try {
                return method.invoke(loop, arguments);
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }

  /** Returns the loop of a process whose links are these. */
  public LinkLoop loop(EventLoop eventLoop, MonotonicClock clock) {
    EventLoopGroup group =
        proxy(
            eventLoop,
            Map.of(
                "next",
                arguments -> Optional.of(eventLoop),
                "register",
                arguments -> Optional.of(register(eventLoop, (Channel) arguments[0]))));
    return new LinkLoop(group, clock, new HybridClock(WallClock.system()));
  }

  /** Registers one end of a link instead of a socket that a process has created. */
  private ChannelFuture register(EventLoop process, Channel channel) {
    if (channel instanceof LinkChannel accepted) {
      accepted.pipeline().fireChannelActive();
      return accepted.newSucceededFuture();
    }
    ChannelHandler handler = channel.pipeline().first();
    channel.unsafe().closeForcibly();
    End end = new End(process, handler);
    if (channel instanceof ServerSocketChannel) {
      end.channel.pipeline().addLast(handler);
    }
    return end.channel.newSucceededFuture();
  }

  /** Closes the links of a process that is gone, and lets nobody connect to it any more. */
  public void drop(EventLoop process) {
    listening.values().removeIf(end -> end.process == process);
    for (End end : List.copyOf(ends)) {
      if (end.process == process) {
        end.closePeer();
      }
    }
  }

  private static final class LinkChannel extends EmbeddedChannel {
    private ChannelConfig config;

    LinkChannel(ChannelHandler handler) {
      super(handler);
    }

    @Override
    public ChannelConfig config() {
      if (config == null) {
        config = new SocketOptionsIgnored(this);
      }
      return config;
    }

    @Override
    public EventLoop eventLoop() {
      return IMMEDIATE;
    }
  }

  private static final class SocketOptionsIgnored extends DefaultChannelConfig {
    SocketOptionsIgnored(Channel channel) {
      super(channel);
    }

    @Override
    public <T> boolean setOption(ChannelOption<T> option, T value) {
      return option == ChannelOption.TCP_NODELAY || super.setOption(option, value);
    }
  }

  /** One end of a link; passes the bytes that its process writes to the other end. */
  private final class End extends ChannelOutboundHandlerAdapter {
    private final EventLoop process;
    private final ChannelHandler handler;
    private final LinkChannel channel = new LinkChannel(this);
    private Optional<End> peer = Optional.empty();

    End(EventLoop process, ChannelHandler handler) {
      this.process = requireNonNull(process, "process");
      this.handler = requireNonNull(handler, "handler");
    }

    private void after(EventLoop receiver, Runnable task) {
      receiver.schedule(task, LATENCY_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void bind(ChannelHandlerContext context, SocketAddress local, ChannelPromise promise) {
      listening.put(local, this);
      promise.setSuccess();
    }

    @Override
    public void connect(
        ChannelHandlerContext context,
        SocketAddress remote,
        SocketAddress local,
        ChannelPromise promise) {
      after(process, () -> connect(remote, promise));
    }

    private void connect(SocketAddress remote, ChannelPromise promise) {
      End acceptor = listening.get(remote);
      if (acceptor == null) {
        promise.setFailure(new ConnectException("nobody listens on " + remote));
        return;
      }
      End accepted = new End(acceptor.process, acceptor.handler);
      join(accepted);
      accepted.join(this);
      after(acceptor.process, () -> acceptor.channel.pipeline().fireChannelRead(accepted.channel));
      promise.setSuccess();
      channel.pipeline().addLast(handler).fireChannelActive();
    }

    private void join(End other) {
      peer = Optional.of(other);
      ends.add(this);
    }

    private void closePeer() {
      if (ends.remove(this)) {
        End other = peer.orElseThrow();
        after(other.process, () -> other.channel.close());
      }
    }

    @Override
    public void write(ChannelHandlerContext context, Object bytes, ChannelPromise promise) {
      End other = peer.orElseThrow();
      after(other.process, () -> other.receive(bytes));
    }

    private void receive(Object bytes) {
      if (channel.isActive()) {
        channel.pipeline().fireChannelRead(bytes).fireChannelReadComplete();
      } else {
        ReferenceCountUtil.release(bytes);
      }
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
      closePeer();
      context.close(promise);
    }
  }
}
