package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The worker of a VM.
 *
 * <p>Calls never block; futures complete on any thread and never exceptionally. Every call names
 * the worker's life that it is meant for; another life answers {@link IncarnationMismatch} and does
 * nothing.
 */
public interface WorkerGateway {
  /** How an order ended. */
  sealed interface OrderResult {}

  /** Carried out, now or by an earlier copy of the same order. */
  record Accepted(long workerClock) implements OrderResult {}

  /** Not carried out and never will be. */
  record Refused(Refusal refusal, String detail) implements OrderResult {
    /** Checks the components. */
    public Refused {
      requireNonNull(refusal, "refusal");
    }
  }

  /** It may have been carried out, or may be yet. */
  record OrderOutcomeUnknown(String reason) implements OrderResult {}

  /** The worker's life that the order was for is over. */
  record IncarnationMismatch() implements OrderResult, ListingResult {}

  /** Why an order was refused. */
  enum Refusal {
    /** The attempt, or a later one, has ended here. */
    STALE_ATTEMPT,
    /** The worker has no room. */
    INSUFFICIENT_CAPACITY,
    /** The deadline has passed. */
    DEADLINE_PASSED,
    /** The worker is unhealthy, or takes nothing now. */
    UNAVAILABLE,
    /** The order itself is wrong. */
    INVALID
  }

  /** What a worker says of itself. */
  sealed interface ListingResult {}

  /** The most ends that one listing holds; the others come once these are noted. */
  int MAX_LISTED_ENDS = 500;

  /**
   * All that runs, and the oldest {@link #MAX_LISTED_ENDS} ends that were not yet noted.
   *
   * @param workerClock the worker's clock in milliseconds when it answered
   */
  record Listing(long workerClock, ImmutableList<ActiveRun> running, ImmutableList<EndedRun> ended)
      implements ListingResult {
    /** Returns whether the worker may have ends that the listing does not hold. */
    public boolean isTruncated() {
      return ended.size() >= MAX_LISTED_ENDS;
    }
  }

  /** The worker did not answer. */
  record ListingFailed(String reason) implements ListingResult {}

  /**
   * A run.
   *
   * @param checkpoint the newest progress saved; empty for none
   * @param percent how far it is
   * @param measurement tail latency in milliseconds of a task that serves; else processors in use,
   *     in thousandths
   */
  record ActiveRun(RunKey run, String checkpoint, int percent, long measurement) {}

  /**
   * The end of a run.
   *
   * @param sequence counts the ends of a worker's life, from 1
   */
  record EndedRun(long sequence, RunKey run, RunOutcome outcome, String checkpoint) {}

  /**
   * A start.
   *
   * @param program opaque text
   * @param deadline until when everything on the worker may run, on its clock
   * @param checkpoint where to resume; empty for the beginning
   * @param ticket of the placement adviser; empty where none is needed
   */
  record StartOrder(RunKey run, String program, long deadline, String checkpoint, String ticket) {}

  /** Starts a run. */
  CompletableFuture<OrderResult> start(String worker, StartOrder start);

  /** Stops a run; once accepted, neither this attempt nor an earlier one starts there any more. */
  CompletableFuture<OrderResult> stop(String worker, RunKey run);

  /** Sets the share of its speed at which a run may work, 0 to 100. */
  CompletableFuture<OrderResult> throttle(String worker, RunKey run, int percent);

  /**
   * Lists what runs, lets it run on until the deadline, and forgets noted ends.
   *
   * @param deadline on the worker's clock; empty leaves it as it is
   * @param noted ends up to this one are durable elsewhere
   * @param waitMillis how long to wait for an end; 0 for none
   */
  CompletableFuture<ListingResult> list(
      String worker, OptionalLong deadline, long noted, long waitMillis);
}
