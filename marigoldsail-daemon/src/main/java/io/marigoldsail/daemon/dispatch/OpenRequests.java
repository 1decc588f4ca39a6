package io.marigoldsail.daemon.dispatch;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.Callback;

/** Counts requests from their head until their answer is written. Safe for any thread. */
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

  /** Waits until no request is open, at most the given time. */
  synchronized void awaitNone(long limitMillis) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
    while (count > 0) {
      long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      if (left <= 0) {
        return;
      }
      wait(left);
    }
  }
}
