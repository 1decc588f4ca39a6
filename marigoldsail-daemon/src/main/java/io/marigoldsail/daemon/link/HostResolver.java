package io.marigoldsail.daemon.link;

import static java.util.Objects.requireNonNull;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Looks up the addresses of hosts on threads of its own: a look-up may block for seconds, and other
 * programs choose some of the names. Thread-safe.
 */
final class HostResolver implements AutoCloseable {
  private static final int MAX_THREADS = 4;
  private static final int MAX_QUEUED = 256;
  private static final long THREAD_IDLE_SECONDS = 5;

  /** Looks up the address of a host; may block. */
  interface Lookup {
    /**
     * Returns the address of the host.
     *
     * @throws IOException if it has none
     */
    InetAddress addressOf(String host) throws IOException;
  }

  private final Lookup lookup;
  private final ThreadPoolExecutor threads =
      new ThreadPoolExecutor(
          MAX_THREADS,
          MAX_THREADS,
          THREAD_IDLE_SECONDS,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(MAX_QUEUED),
          new DefaultThreadFactory("host-resolver", true));

  HostResolver(Lookup lookup) {
    this.lookup = requireNonNull(lookup, "lookup");
    threads.allowCoreThreadTimeOut(true);
  }

  /**
   * Looks up the host of the address.
   *
   * @param resolved receives the address with that of its host, on any thread
   * @param failed receives the cause if the host has no address or too many look-ups wait, on any
   *     thread
   */
  void resolve(
      InetSocketAddress address, Consumer<InetSocketAddress> resolved, Consumer<Throwable> failed) {
    try {
      threads.execute(() -> lookUp(address, resolved, failed));
    } catch (RejectedExecutionException e) {
      failed.accept(e);
    }
  }

  private void lookUp(
      InetSocketAddress address, Consumer<InetSocketAddress> resolved, Consumer<Throwable> failed) {
    InetAddress host;
    try {
      host = lookup.addressOf(address.getHostString());
    } catch (IOException | RuntimeException e) {
      failed.accept(e);
      return;
    }
    resolved.accept(new InetSocketAddress(host, address.getPort()));
  }

  /** Stops the threads; look-ups that have not ended have no result. */
  @Override
  public void close() {
    threads.shutdownNow();
  }
}
