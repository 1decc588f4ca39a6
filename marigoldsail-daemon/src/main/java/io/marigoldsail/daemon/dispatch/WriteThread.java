package io.marigoldsail.daemon.dispatch;

import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * One thread that writes HTTP for a loop, in the order in which it is told to.
 *
 * <p>Making and writing an HTTP message took half of the loop's time, and the loop decides on every
 * request of its process. A thread that is busy anyway is not woken for each message, so that the
 * hand-over costs least when there is most to do. Tasks must not block. Safe for any thread.
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
            // Once closed, what is in progress is lost with its connections.
            new ThreadPoolExecutor.DiscardPolicy());
  }

  @Override
  public void execute(Runnable task) {
    executor.execute(task);
  }

  /** Ends the thread after what it was told so far. */
  @Override
  public void close() {
    executor.shutdown();
  }
}
