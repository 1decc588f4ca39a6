package io.marigoldsail.daemon.link;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.protocol.Frame;
import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Accepts connections from our other processes.
 *
 * <p>Connections beyond the limit are closed at once, and connections on which nothing came for a
 * while too: a flood of connections, or peers that vanished without a word, must not use up the
 * process's descriptors and memory. Safe for any thread.
 */
public final class LinkServer implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(LinkServer.class.getName());
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long SWEEP_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final LinkLoop loop;
  private final InetSocketAddress address;
  private final int maxConnections;
  private final LinkListener listener;
  private final Set<LinkConnection> openConnections = new HashSet<>();
  private final Set<LinkConnection> refusedConnections = new HashSet<>();
  private long refusedSinceSweep;
  private Channel acceptor;
  private Future<?> sweep;

  /**
   * Creates a server that does not listen yet.
   *
   * @param loop the thread
   * @param address where to listen; port 0 takes any
   * @param maxConnections how many connections are open at most
   * @param listener told what happens on them
   */
  public LinkServer(
      LinkLoop loop, InetSocketAddress address, int maxConnections, LinkListener listener) {
    checkArgument(maxConnections > 0, "maxConnections is not positive: %s", maxConnections);
    this.loop = requireNonNull(loop, "loop");
    this.address = requireNonNull(address, "address");
    this.maxConnections = maxConnections;
    this.listener = requireNonNull(listener, "listener");
  }

  /**
   * Begins to listen.
   *
   * @throws IOException if the address cannot be had, such as a port in use
   */
  public void start() throws IOException {
    try {
      acceptor = loop.listen(address, new LinkInitializer(loop, new LimitingListener()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding " + address, e);
    } catch (Exception e) {
      throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
    sweep = loop.repeat(this::sweep, SWEEP_PERIOD_NANOS);
  }

  /** Returns the port that is listened on. */
  public int port() {
    return ((InetSocketAddress) acceptor.localAddress()).getPort();
  }

  /**
   * Returns whether everything that was sent has been handed to the operating system; to be called
   * on the loop's thread.
   */
  public boolean isFlushed() {
    return openConnections.stream().allMatch(LinkConnection::isFlushed);
  }

  /** Stops listening and ends all connections. */
  @Override
  public void close() {
    sweep.cancel(false);
    acceptor.close().awaitUninterruptibly();
    loop.run(() -> Set.copyOf(openConnections).forEach(connection -> connection.close("stopped")));
  }

  private void sweep() {
    long now = loop.now();
    for (LinkConnection connection : Set.copyOf(openConnections)) {
      if (now - connection.lastReceived() > IDLE_TIMEOUT_NANOS) {
        connection.close("idle");
      }
    }
    if (refusedSinceSweep > 0) {
      LOG.log(
          System.Logger.Level.WARNING,
          "event=connections-refused port={0} count={1} limit={2}",
          String.valueOf(port()),
          refusedSinceSweep,
          maxConnections);
      refusedSinceSweep = 0;
    }
  }

  /** Passes on what happens on connections within the limit. */
  private final class LimitingListener implements LinkListener {
    @Override
    public void opened(LinkConnection connection) {
      if (openConnections.size() >= maxConnections) {
        refusedSinceSweep++;
        refusedConnections.add(connection);
        connection.close("too many connections");
        return;
      }
      openConnections.add(connection);
      listener.opened(connection);
    }

    @Override
    public void received(LinkConnection connection, Frame frame) throws BrokenFrameException {
      if (openConnections.contains(connection)) {
        listener.received(connection, frame);
      }
    }

    @Override
    public void closed(LinkConnection connection, String reason) {
      refusedConnections.remove(connection);
      if (openConnections.remove(connection)) {
        listener.closed(connection, reason);
      }
    }
  }
}
