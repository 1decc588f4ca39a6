package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
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
 * Asks the placement adviser for the steps that wait, one call at a time.
 *
 * <p>The adviser serves the calls of one process in turn anyway; asked one at a time, the step that
 * is next is the one that is first in the waiting order when the adviser is free, not the one that
 * came first. Confined to the loop's thread.
 */
final class PlacementAdviceClient {
  private static final EventLog LOG = EventLog.of(PlacementAdviceClient.class);

  /** How many times as long as it should take an answer may take: the adviser has other callers. */
  private static final int TIMEOUT_FACTOR = 4;

  /** Added to that for the way there and back, in milliseconds. */
  private static final long ROUND_TRIP_MILLIS = 1_000;

  /** After a call that failed, in nanoseconds: the adviser may be overloaded. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Steps beyond which all that was advised is forgotten, and asked for anew where it is wanted.
   */
  private static final int MAX_CACHED_STEPS = 4_000;

  private final LinkLoop loop;
  private final PlacementAdviser adviser;
  private final Runnable onResult;
  private final Map<StepKey, StepAdvice> adviceByStep = new HashMap<>();
  private boolean callInFlight;
  private long retryAt = Long.MIN_VALUE;

  /**
   * Creates a desk.
   *
   * @param answered run when waiting tasks should be looked at again
   */
  PlacementAdviceClient(LinkLoop loop, PlacementAdviser adviser, Runnable answered) {
    this.loop = requireNonNull(loop, "loop");
    this.adviser = requireNonNull(adviser, "adviser");
    this.onResult = requireNonNull(answered, "answered");
  }

  /** Returns the offers that tasks of the step may be placed on now. */
  ImmutableList<VmOffer> allowed(WorkflowTask task, Collection<VmOffer> offers) {
    return adviceFor(task).allowedOffers(offers, loop.now());
  }

  /** Returns the ticket by which a worker takes the task; empty if there is none. */
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
   * Asks about the best candidates that were not asked about yet, unless a call is on its way.
   *
   * @param candidates VMs with room for the task, the best first
   */
  void request(WorkflowTask task, Collection<VmOffer> candidates) {
    if (callInFlight || loop.now() < retryAt) {
      return;
    }
    ImmutableList<String> named =
        adviceFor(task).workersToQuery(candidates, StepAdvice.MAX_VMS_PER_CALL, loop.now());
    if (named.isEmpty()) {
      return;
    }
    callInFlight = true;
    AdviserTiming terms = task.workflow().spec().policy().advice().orElseThrow();
    long sentAt = loop.now();
    TaskKey key = task.key();
    adviser
        .advise(
            key.workflow(),
            key.occurrence(),
            key.step(),
            named,
            TIMEOUT_FACTOR * terms.callMillis(named.size()) + ROUND_TRIP_MILLIS)
        .thenAccept(result -> loop.run(() -> handleResult(task, named, sentAt, result)));
  }

  private void handleResult(
      WorkflowTask task, ImmutableList<String> named, long sentAt, AdviceResult result) {
    callInFlight = false;
    LogLine line =
        LogLine.of("placement-advised")
            .with("task", task.key())
            .with("named", named.size())
            .with("ms", TimeUnit.NANOSECONDS.toMillis(loop.now() - sentAt));
    if (result instanceof Advised told) {
      AdviserTiming terms = task.workflow().spec().policy().advice().orElseThrow();
      // Counted from the asking: the adviser's clock for the ticket began after that.
      long validUntil = sentAt + TimeUnit.MILLISECONDS.toNanos(terms.validMillis());
      adviceFor(task).recordAnswer(named, told.tickets(), validUntil);
      LOG.info(line.with("allowed", told.tickets().size()));
    } else {
      retryAt = loop.now() + RETRY_DELAY_NANOS;
      LOG.warning(line.with("reason", ((AdviceUnavailable) result).reason()));
    }
    onResult.run();
  }
}
