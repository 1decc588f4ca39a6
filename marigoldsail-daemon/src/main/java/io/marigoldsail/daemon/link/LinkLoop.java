package io.marigoldsail.daemon.link;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.capacity.OutOfMemory;
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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The single event loop thread of a process. Reads all links and runs the request scheduling.
 *
 * <p>Both run on one thread so that a response from a link is matched and forwarded without locks
 * or a switch to another thread. Code that runs on the loop must not block. The methods are
 * thread-safe.
 */
public final class LinkLoop implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(LinkLoop.class.getName());
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int ACCEPT_BACKLOG = 512;

  private final MonotonicClock clock;
  private final HybridClock hybridClock;
  private final HostResolver resolver;
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
   * @param hybridClock timestamps sent frames and is advanced by the timestamps of received ones
   */
  public LinkLoop(String name, MonotonicClock clock, HybridClock hybridClock) {
    this(
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory()),
        clock,
        hybridClock);
  }

  /**
   * Uses the only thread of an event loop group.
   *
   * @param group the group; closed together with this loop
   * @param clock the process's monotonic clock
   * @param hybridClock timestamps sent frames and is advanced by the timestamps of received ones
   */
  public LinkLoop(EventLoopGroup group, MonotonicClock clock, HybridClock hybridClock) {
    this(group, clock, hybridClock, new HostResolver(InetAddress::getByName));
  }

  LinkLoop(
      EventLoopGroup group, MonotonicClock clock, HybridClock hybridClock, HostResolver resolver) {
    this.resolver = requireNonNull(resolver, "resolver");
    this.clock = requireNonNull(clock, "clock");
    this.hybridClock = requireNonNull(hybridClock, "hybridClock");
    this.group = requireNonNull(group, "group");
    this.loop = group.next();
  }

  /** Returns the time of the process's monotonic clock, in nanoseconds. */
  public long now() {
    return clock.nanos();
  }

  /** Returns the clock that timestamps frames. */
  HybridClock hybridClock() {
    return hybridClock;
  }

  /** Runs the task on the loop: immediately if called on its thread, otherwise queued. */
  public void run(Runnable task) {
    if (loop.inEventLoop()) {
      task.run();
      return;
    }
    loop.execute(task);
  }

  /** Queues the task on the loop, also if called on its thread. */
  public void runLater(Runnable task) {
    loop.execute(task);
  }

  /** Runs the task on the loop after the delay. */
  public Future<?> schedule(Runnable task, long delayNanos) {
    return loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Runs the task on the loop periodically, first after one period. An exception or error of the
   * task is logged and does not stop the repetition.
   */
  public Future<?> repeat(Runnable task, long periodNanos) {
    return loop.scheduleWithFixedDelay(
        () -> runRepeated(task), periodNanos, periodNanos, TimeUnit.NANOSECONDS);
  }

  private static void runRepeated(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      OutOfMemory.exitIfCause(e);
      // An error, such as a stack overflow, would end the repetition as silently as an exception.
      LOG.log(System.Logger.Level.ERROR, "event=repeated-task-failed", e);
    }
  }

  /**
   * Runs the task and passes a runtime exception to the handler instead of throwing it.
   *
   * <p>Without this, an exception would end a periodic task or a chain of tasks for good while the
   * process stays up: leases would no longer be renewed, attempts no longer started, and the ends
   * of runs on unreachable VMs never recorded.
   *
   * @param failed receives the exception, to log it
   */
  public static void runGuarded(Runnable task, Consumer<RuntimeException> failed) {
    try {
      task.run();
    } catch (RuntimeException e) {
      failed.accept(e);
    }
  }

  /** Returns whether the calling thread is the loop's thread. */
  public boolean inLoop() {
    return loop.inEventLoop();
  }

  /**
   * Opens a connection.
   *
   * @param address the address to connect to; if it is unresolved, its host is looked up on another
   *     thread
   * @param listener receives the connection's events, on the loop
   * @param failed receives the cause if the connection cannot be opened, on the loop
   */
  public void dial(InetSocketAddress address, LinkListener listener, Consumer<Throwable> failed) {
    if (address.isUnresolved()) {
      resolver.resolve(
          address,
          resolved -> loop.execute(() -> connect(resolved, listener, failed)),
          cause -> loop.execute(() -> failed.accept(cause)));
    } else {
      connect(address, listener, failed);
    }
  }

  private void connect(
      InetSocketAddress address, LinkListener listener, Consumer<Throwable> failed) {
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
   * Checks whether the address accepts connections. The test connection is closed immediately.
   *
   * @param address the address to connect to
   * @param result receives whether a connection was accepted, on the loop
   */
  public void probe(InetSocketAddress address, Consumer<Boolean> result) {
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> {
              connected.channel().close();
              result.accept(connected.isSuccess());
            });
  }

  /** Listens on the address. Used by {@link LinkServer}. */
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

  /** Stops the thread and waits for its end. Tasks that have not run are discarded. */
  @Override
  public void close() {
    resolver.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
