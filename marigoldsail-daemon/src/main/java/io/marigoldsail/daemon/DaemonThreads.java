package io.marigoldsail.daemon;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Makes threads that do not keep the process alive. */
final class DaemonThreads {
  private DaemonThreads() {}

  /** Returns a factory of threads called by the name and a number. */
  static ThreadFactory named(String name) {
    AtomicInteger count = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }
}
