package io.marigoldsail.daemon;

import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits, in a planned stop of either role, for what is in progress to end. */
final class Drain {
  private static final EventLog LOG = EventLog.of(Drain.class);
  private static final long TIMEOUT_SECONDS = 60;

  private Drain() {}

  /** Waits until the future completes, a minute at the most; what cut it short is logged. */
  static void await(CompletableFuture<Void> drained) {
    try {
      drained.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      LOG.warning(LogLine.of("drain-cut-short").with("seconds", TIMEOUT_SECONDS));
    } catch (ExecutionException e) {
      LOG.error(LogLine.of("drain-failed").withError(e.getCause()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
