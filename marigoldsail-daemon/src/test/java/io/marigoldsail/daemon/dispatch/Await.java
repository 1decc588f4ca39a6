package io.marigoldsail.daemon.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** Waits for conditions; the timeout only keeps a failing test from hanging. */
final class Await {
  private static final long POLL_INTERVAL_MILLIS = 5;
  private static final long TIMEOUT_SECONDS = 60;
  private static final ScheduledExecutorService POLLER =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "await");
            thread.setDaemon(true);
            return thread;
          });

  private Await() {}

  static void until(String description, BooleanSupplier condition) {
    CompletableFuture<Void> met = new CompletableFuture<>();
    Runnable check =
        () -> {
          try {
            if (condition.getAsBoolean()) {
              met.complete(null);
            }
          } catch (RuntimeException e) {
            met.completeExceptionally(e);
          }
        };
    ScheduledFuture<?> checks =
        POLLER.scheduleWithFixedDelay(check, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    try {
      met.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      throw new AssertionError("condition not met: " + description, e);
    } catch (InterruptedException | ExecutionException e) {
      throw new AssertionError("failed while waiting for: " + description, e);
    } finally {
      checks.cancel(false);
    }
  }
}
