package io.marigoldsail.cli;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/** Polls until a value is available. Stateless and thread-safe. */
final class Polling {
  private static final long PERIOD_MILLIS = 100;

  private Polling() {}

  /**
   * Returns the first value that the supplier returns, or empty if there is none before the timeout
   * or if the calling thread is interrupted.
   *
   * @param supplier called immediately and then ten times a second, on another thread; its
   *     exceptions are rethrown here
   */
  static <T> Optional<T> until(Supplier<Optional<T>> supplier, long timeoutMillis) {
    ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    CompletableFuture<T> result = new CompletableFuture<>();
    Runnable poll =
        () -> {
          try {
            supplier.get().ifPresent(result::complete);
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        };
    try {
      var unused = scheduler.scheduleWithFixedDelay(poll, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
      return Optional.of(result.get(timeoutMillis, TimeUnit.MILLISECONDS));
    } catch (TimeoutException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } catch (ExecutionException e) {
      if (e.getCause() instanceof RuntimeException cause) {
        throw cause;
      }
      throw new IllegalStateException(e.getCause());
    } finally {
      scheduler.shutdownNow();
    }
  }
}
