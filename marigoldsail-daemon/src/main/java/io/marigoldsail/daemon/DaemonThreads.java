package io.marigoldsail.daemon;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates daemon threads, which do not keep the process alive. */
final class DaemonThreads {
  private DaemonThreads() {}

  /** Returns a factory of daemon threads that are named after the given name and numbered. */
  static ThreadFactory named(String name) {
    AtomicInteger count = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }
}
