package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.scheduling.StepKey;
import io.marigoldsail.daemon.workflow.PlacementAdviser.AdviceResult;
import io.marigoldsail.daemon.workflow.PlacementAdviser.AdviceUnavailable;
import io.marigoldsail.daemon.workflow.PlacementAdviser.Advised;
import io.marigoldsail.workflow.AdviserTiming;
import io.marigoldsail.workflow.StepAdvice;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Requests placement advice for waiting steps, one call at a time, and caches it.
 *
 * <p>The adviser serves the calls of one process sequentially. With one call in flight, the next
 * call is for the step that is first in the waiting order when the adviser is free, not for the
 * step that was requested first. Confined to the loop's thread.
 */
final class PlacementAdviceClient {
  private static final EventLog LOG = EventLog.of(PlacementAdviceClient.class);

  /** Call timeout as a multiple of the expected duration: the adviser also has other callers. */
  private static final int TIMEOUT_FACTOR = 4;

  /** Network round trip that is added to the call timeout, in milliseconds. */
  private static final long ROUND_TRIP_MILLIS = 1_000;

  /** Delay after a failed call, in nanoseconds; the adviser may be overloaded. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Number of cached steps above which the cache is cleared; advice is then requested again. */
  private static final int MAX_CACHED_STEPS = 4_000;

  private final LinkLoop loop;
  private final PlacementAdviser adviser;
  private final Runnable onResult;
  private final Map<StepKey, StepAdvice> adviceByStep = new HashMap<>();
  private boolean callInFlight;
  private long retryAt = Long.MIN_VALUE;

  /**
   * Creates a client with an empty cache.
   *
   * @param onResult runs on the loop after each call; waiting tasks may be placeable then
   */
  PlacementAdviceClient(LinkLoop loop, PlacementAdviser adviser, Runnable onResult) {
    this.loop = requireNonNull(loop, "loop");
    this.adviser = requireNonNull(adviser, "adviser");
    this.onResult = requireNonNull(onResult, "onResult");
  }

  /** Returns the offers on which the task's step may be placed now according to cached advice. */
  ImmutableList<VmOffer> allowed(WorkflowTask task, Collection<VmOffer> offers) {
    return adviceFor(task).allowedOffers(offers, loop.now());
  }

  /**
   * Returns the ticket that the worker requires to accept the task, or an empty string if there is
   * no valid one.
   */
  String ticket(WorkflowTask task, String worker) {
    return adviceFor(task).ticket(worker, loop.now()).orElse("");
  }

  private StepAdvice adviceFor(WorkflowTask task) {
    if (adviceByStep.size() > MAX_CACHED_STEPS) {
      adviceByStep.clear();
    }
    return adviceByStep.computeIfAbsent(StepKey.of(task.key()), unused -> new StepAdvice());
  }

  /**
   * Requests advice on the best candidates without a cached result; does nothing while a call is in
   * flight or for a short time after a failed call.
   *
   * @param timing the timing of the adviser
   * @param candidates VMs that admit the task, best first
   */
  void request(WorkflowTask task, AdviserTiming timing, Collection<VmOffer> candidates) {
    if (callInFlight || loop.now() < retryAt) {
      return;
    }
    ImmutableList<String> workers =
        adviceFor(task).workersToQuery(candidates, StepAdvice.MAX_VMS_PER_CALL, loop.now());
    if (workers.isEmpty()) {
      return;
    }
    callInFlight = true;
    long sentAt = loop.now();
    TaskKey key = task.key();
    adviser
        .advise(
            key.workflow(),
            key.occurrence(),
            key.step(),
            workers,
            TIMEOUT_FACTOR * timing.callMillis(workers.size()) + ROUND_TRIP_MILLIS)
        .thenAccept(result -> loop.run(() -> handleResult(task, timing, workers, sentAt, result)));
  }

  private void handleResult(
      WorkflowTask task,
      AdviserTiming timing,
      ImmutableList<String> workers,
      long sentAt,
      AdviceResult result) {
    callInFlight = false;
    LogLine line =
        LogLine.of("placement-advised")
            .with("task", task.key())
            .with("named", workers.size())
            .with("ms", TimeUnit.NANOSECONDS.toMillis(loop.now() - sentAt));
    if (result instanceof Advised advised) {
      // Counted from the request, which precedes the start of the validity at the adviser.
      long validUntil = sentAt + TimeUnit.MILLISECONDS.toNanos(timing.validMillis());
      adviceFor(task).recordAnswer(workers, advised.tickets(), validUntil);
      LOG.info(line.with("allowed", advised.tickets().size()));
    } else {
      retryAt = loop.now() + RETRY_DELAY_NANOS;
      LOG.warning(line.with("reason", ((AdviceUnavailable) result).reason()));
    }
    onResult.run();
  }
}
