package io.marigoldsail.testlib.fault;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy on loopback with injectable faults.
 *
 * <p>A blackholed connection stays open at both ends while its bytes are dropped, as when a
 * middlebox has lost its connection state. Thread-safe.
 */
public final class TcpFaultProxy implements AutoCloseable {
  /** The direction of bytes. */
  public enum Direction {
    /** From the client to the server. */
    TO_SERVER,
    /** From the server to the client. */
    TO_CLIENT
  }

  private static final int BUFFER_BYTES = 64 << 10;
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

  private final InetSocketAddress server;
  private final ServerSocket acceptor;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private final Map<Direction, AtomicLong> forwarded = new EnumMap<>(Direction.class);
  private final Object delayChanged = new Object();
  private volatile boolean refusing;
  private volatile boolean blackholeAll;
  private volatile long delayMillis;

  /**
   * Creates a proxy on a free port and starts forwarding.
   *
   * @param serverPort the port on loopback to forward connections to
   * @throws UncheckedIOException if it cannot listen
   */
  public TcpFaultProxy(int serverPort) {
    this.server = new InetSocketAddress(InetAddress.getLoopbackAddress(), serverPort);
    for (Direction direction : Direction.values()) {
      forwarded.put(direction, new AtomicLong());
    }
    try {
      this.acceptor = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    startThread(this::acceptAll);
  }

  /** Returns the port on which the proxy listens. */
  public int port() {
    return acceptor.getLocalPort();
  }

  /** Returns the number of bytes forwarded in a direction. */
  public long forwardedBytes(Direction direction) {
    return forwarded.get(direction).get();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  /** Closes all open connections; new ones are not affected. */
  public void closeOpenConnections() {
    connections.forEach(Connection::close);
  }

  /**
   * Permanently drops the bytes of all open connections in a direction; new connections are not
   * affected.
   */
  public void blackholeOpenConnections(Direction direction) {
    requireNonNull(direction, "direction");
    connections.forEach(link -> link.blackhole(direction));
  }

  /**
   * Drops, or no longer drops, all bytes of open and new connections. Connections that were
   * blackholed with {@link #blackholeOpenConnections} stay so.
   */
  public void setBlackhole(boolean newSilent) {
    blackholeAll = newSilent;
  }

  /** Closes all connections and refuses new ones, or accepts new ones again. */
  public void setRefusing(boolean newRefusing) {
    refusing = newRefusing;
    if (newRefusing) {
      closeOpenConnections();
    }
  }

  /** Delays the bytes of each read in both directions, by the given milliseconds. */
  public void setDelayMillis(long newDelayMillis) {
    synchronized (delayChanged) {
      delayMillis = newDelayMillis;
      delayChanged.notifyAll();
    }
  }

  @Override
  public void close() {
    closeQuietly(acceptor);
    closeOpenConnections();
  }

  private void acceptAll() {
    while (!acceptor.isClosed()) {
      try {
        Socket client = acceptor.accept();
        if (refusing) {
          closeQuietly(client);
        } else {
          startThread(() -> connect(client));
        }
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket client) {
    Socket onward = new Socket();
    try {
      onward.connect(server, CONNECT_TIMEOUT_MILLIS);
      client.setTcpNoDelay(true);
      onward.setTcpNoDelay(true);
      Connection link = new Connection(client, onward);
      connections.add(link);
      startThread(() -> link.copy(Direction.TO_SERVER, client, onward));
      link.copy(Direction.TO_CLIENT, onward, client);
    } catch (IOException e) {
      closeQuietly(client);
      closeQuietly(onward);
    }
  }

  private void awaitDelay() throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    synchronized (delayChanged) {
      long remainingNanos = deadlineNanos - System.nanoTime();
      while (remainingNanos > 0 && delayMillis > 0) {
        TimeUnit.NANOSECONDS.timedWait(delayChanged, remainingNanos);
        remainingNanos = deadlineNanos - System.nanoTime();
      }
    }
  }

  private static void startThread(Runnable work) {
    Thread thread = new Thread(work, "tcp-fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(AutoCloseable socket) {
    try {
      socket.close();
    } catch (Exception e) {
      // The socket is discarded in any case, so a failed close needs no handling.
    }
  }

  private final class Connection {
    private final Socket client;
    private final Socket upstream;
    private final Set<Direction> blackholed = ConcurrentHashMap.newKeySet();

    private Connection(Socket client, Socket onward) {
      this.client = client;
      this.upstream = onward;
    }

    private void blackhole(Direction direction) {
      blackholed.add(direction);
    }

    private void close() {
      closeQuietly(client);
      closeQuietly(upstream);
      connections.remove(this);
    }

    private void copy(Direction direction, Socket from, Socket to) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        int count = in.read(buffer);
        while (count >= 0) {
          awaitDelay();
          if (!blackholeAll && !blackholed.contains(direction)) {
            out.write(buffer, 0, count);
            forwarded.get(direction).addAndGet(count);
          }
          count = in.read(buffer);
        }
        if (!blackholeAll && !blackholed.contains(direction)) {
          close();
        }
      } catch (IOException e) {
        close();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        close();
      }
    }
  }
}
