package io.marigoldsail.daemon.http;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Creates thread pools for HTTP clients and servers.
 *
 * <p>Jetty's own thread factory creates each thread through method handles on the security manager,
 * which cost processor time at every process start and serve no purpose without a security manager.
 */
public final class HttpThreadPools {
  /** Lets Jetty choose how many threads it reserves for tasks that must not wait. */
  private static final int DEFAULT_RESERVED_THREADS = -1;

  private HttpThreadPools() {}

  /**
   * Returns a pool that is not started.
   *
   * @param name prefix of the thread names
   * @param maxThreads the maximum number of threads
   * @param minThreads the number of threads that are kept when idle
   * @param idleMillis idle time after which a thread beyond the minimum ends, in milliseconds
   * @param daemon whether the threads are daemon threads, which do not keep the process alive
   */
  public static QueuedThreadPool create(
      String name, int maxThreads, int minThreads, int idleMillis, boolean daemon) {
    QueuedThreadPool pool =
        new QueuedThreadPool(
            maxThreads,
            minThreads,
            idleMillis,
            DEFAULT_RESERVED_THREADS,
            null,
            null,
            factory(name, daemon));
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
