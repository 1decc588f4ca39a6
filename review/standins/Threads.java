import java.util.concurrent.ThreadFactory;

/** Threads that do not keep the process alive. */
final class Threads {
  private Threads() {}

  static ThreadFactory daemon() {
    return task -> {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      return thread;
    };
  }
}
