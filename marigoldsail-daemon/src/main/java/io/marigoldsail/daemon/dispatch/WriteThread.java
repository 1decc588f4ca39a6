package io.marigoldsail.daemon.dispatch;

import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A single thread that writes HTTP messages for a loop, in submission order.
 *
 * <p>Creating and writing HTTP messages took half of the time of the loop, which decides on every
 * request of its process. A busy thread needs no wake-up per message, so the cost of a submission
 * is lowest under high load. Tasks must not block. Safe for any thread.
 */
final class WriteThread implements Executor, AutoCloseable {
  private final ThreadPoolExecutor executor;

  /** Creates a thread that starts with its first task. */
  WriteThread(String name) {
    executor =
        new ThreadPoolExecutor(
            1,
            1,
            0,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            },
            // After close, pending messages are lost with their connections.
            new ThreadPoolExecutor.DiscardPolicy());
  }

  @Override
  public void execute(Runnable task) {
    executor.execute(task);
  }

  /** Stops the thread after the tasks submitted so far. */
  @Override
  public void close() {
    executor.shutdown();
  }
}
