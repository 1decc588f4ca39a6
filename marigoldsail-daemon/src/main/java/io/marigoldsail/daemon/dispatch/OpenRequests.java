package io.marigoldsail.daemon.dispatch;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.Callback;

/** Counts requests from their head until their response is written. Safe for any thread. */
final class OpenRequests {
  private int count;

  /** Counts a request as open until the returned callback is completed. */
  synchronized Callback track(Callback callback) {
    count++;
    return Callback.from(callback, this::ended);
  }

  private synchronized void ended() {
    count--;
    notifyAll();
  }

  /** Waits until no request is open or the time limit has passed. */
  synchronized void awaitNone(long timeoutMillis) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (count > 0) {
      long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      if (remainingMillis <= 0) {
        return;
      }
      wait(remainingMillis);
    }
  }
}
