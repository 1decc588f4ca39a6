package io.marigoldsail.cli;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/** Asks again and again until there is an answer. Stateless, safe for any thread. */
final class Polling {
  private static final long PERIOD_MILLIS = 100;

  private Polling() {}

  /**
   * Returns the first value that the question gives, or empty if it gives none in time.
   *
   * @param question asked at once and then ten times a second, on another thread; what it throws is
   *     thrown here
   */
  static <T> Optional<T> until(Supplier<Optional<T>> question, long timeoutMillis) {
    ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    CompletableFuture<T> answer = new CompletableFuture<>();
    Runnable ask =
        () -> {
          try {
            question.get().ifPresent(answer::complete);
          } catch (RuntimeException e) {
            answer.completeExceptionally(e);
          }
        };
    try {
      var unused = scheduler.scheduleWithFixedDelay(ask, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
      return Optional.of(answer.get(timeoutMillis, TimeUnit.MILLISECONDS));
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
