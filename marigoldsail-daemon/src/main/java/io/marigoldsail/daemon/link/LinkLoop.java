package io.marigoldsail.daemon.link;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.HybridClock;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The one event loop thread of a process on which links are read and requests are decided.
 *
 * <p>One thread owns both, so that an answer read from a link is matched, decided on and passed on
 * without a hop to another thread and without locks. Whatever runs here must not block. The methods
 * may be called from any thread.
 */
public final class LinkLoop implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(LinkLoop.class.getName());
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int ACCEPT_BACKLOG = 512;

  private final MonotonicClock clock;
  private final HybridClock hybridClock;
  private final EventLoopGroup group;
  private final EventLoop loop;

  /**
   * Starts the thread.
   *
   * @param name the thread's name
   * @param clock the process's monotonic clock
   */
  public LinkLoop(String name, MonotonicClock clock) {
    this(name, clock, new HybridClock(WallClock.system()));
  }

  /**
   * Starts the thread.
   *
   * @param name the thread's name
   * @param clock the process's monotonic clock
   * @param hybridClock stamps every frame that is sent and observes every one that is read
   */
  public LinkLoop(String name, MonotonicClock clock, HybridClock hybridClock) {
    this(
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory()),
        clock,
        hybridClock);
  }

  /**
   * Runs on the only thread of a group.
   *
   * @param group its end is this loop's
   * @param clock the process's monotonic clock
   * @param hybridClock stamps every frame that is sent and observes every one that is read
   */
  public LinkLoop(EventLoopGroup group, MonotonicClock clock, HybridClock hybridClock) {
    this.clock = requireNonNull(clock, "clock");
    this.hybridClock = requireNonNull(hybridClock, "hybridClock");
    this.group = requireNonNull(group, "group");
    this.loop = group.next();
  }

  /** Returns the process's monotonic clock in nanoseconds. */
  public long now() {
    return clock.nanos();
  }

  /** Returns the clock that stamps frames. */
  HybridClock hybridClock() {
    return hybridClock;
  }

  /** Runs the task on the loop: at once where the caller is on it, else soon. */
  public void run(Runnable task) {
    if (loop.inEventLoop()) {
      task.run();
      return;
    }
    loop.execute(task);
  }

  /** Runs the task on the loop, after what runs there now. */
  public void runLater(Runnable task) {
    loop.execute(task);
  }

  /** Runs the task on the loop after the delay. */
  public Future<?> schedule(Runnable task, long delayNanos) {
    return loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
  }

  /** Runs the task on the loop again and again, first after one period, also after it threw. */
  public Future<?> repeat(Runnable task, long periodNanos) {
    return loop.scheduleWithFixedDelay(
        () ->
            runGuarded(
                task, e -> LOG.log(System.Logger.Level.ERROR, "event=repeated-task-failed", e)),
        periodNanos,
        periodNanos,
        TimeUnit.NANOSECONDS);
  }

  /**
   * Runs the task now and goes on also after it threw.
   *
   * <p>Guards against a process that lives on without what comes after the task: an exception would
   * end a repetition or a chain for good, and with it leases, orders, and the ends of runs out of
   * reach.
   *
   * @param failed told of the exception, to log it
   */
  public static void runGuarded(Runnable task, Consumer<RuntimeException> failed) {
    try {
      task.run();
    } catch (RuntimeException e) {
      failed.accept(e);
    }
  }

  /** Returns whether the calling thread is the loop's. */
  public boolean inLoop() {
    return loop.inEventLoop();
  }

  /**
   * Opens a connection.
   *
   * @param address where to
   * @param listener told on the loop when the connection opens, of its frames and of its end
   * @param failed told on the loop why it could not be opened
   */
  public void dial(InetSocketAddress address, LinkListener listener, Consumer<Throwable> failed) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new LinkInitializer(this, listener));
    bootstrap
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> {
              if (!connected.isSuccess()) {
                failed.accept(connected.cause());
              }
            });
  }

  /**
   * Tries whether somebody listens at the address.
   *
   * @param address where
   * @param heard told on the loop whether a connection was accepted; it is closed at once
   */
  public void probe(InetSocketAddress address, Consumer<Boolean> heard) {
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> {
              connected.channel().close();
              heard.accept(connected.isSuccess());
            });
  }

  /** Listens on the address; package-private, see {@link LinkServer}. */
  Channel listen(InetSocketAddress address, LinkInitializer initializer)
      throws InterruptedException {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer)
        .bind(address)
        .sync()
        .channel();
  }

  /** Stops the thread; tasks that have not run are dropped. Waits for its end. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
