package io.marigoldsail.daemon.http;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Makes thread pools for HTTP clients and servers.
 *
 * <p>Jetty's own thread factory makes each thread through method handles on the security manager,
 * which cost every start of a process processor time and are of no use without one.
 */
public final class HttpThreadPools {
  /** Has the pool choose how many threads it keeps for what must not wait. */
  private static final int DEFAULT_RESERVED_THREADS = -1;

  private HttpThreadPools() {}

  /**
   * Returns a pool that is not started.
   *
   * @param name the start of its threads' names
   * @param most how many threads it may have
   * @param least how many threads it keeps
   * @param idleMillis how long a thread over the least may be idle
   * @param daemon whether its threads let the process end
   */
  public static QueuedThreadPool create(
      String name, int most, int least, int idleMillis, boolean daemon) {
    QueuedThreadPool pool =
        new QueuedThreadPool(
            most, least, idleMillis, DEFAULT_RESERVED_THREADS, null, null, factory(name, daemon));
    pool.setName(name);
    pool.setDaemon(daemon);
    return pool;
  }

  private static ThreadFactory factory(String name, boolean daemon) {
    requireNonNull(name, "name");
    AtomicInteger count = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
      thread.setDaemon(daemon);
      return thread;
    };
  }
}
