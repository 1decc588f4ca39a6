package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the worker on a VM.
 *
 * <p>Calls never block; futures complete on any thread and never exceptionally. Every call names
 * the worker incarnation that it is meant for, see {@link
 * io.marigoldsail.workflow.WorkerIncarnation#name}. A worker with another id ignores the call and
 * responds with {@link IncarnationMismatch}. One that started again under its id cannot tell that
 * an order was meant for an earlier incarnation; only its listings tell, by {@link SucceededBy}.
 */
public interface WorkerGateway {
  /** The result of an order. */
  sealed interface OrderResult {}

  /**
   * The order was executed, now or when an earlier copy of it arrived.
   *
   * @param workerClock the worker's clock in milliseconds when it responded
   */
  record Accepted(long workerClock) implements OrderResult {}

  /**
   * The order was not executed and never will be.
   *
   * @param detail free text for logs
   */
  record Refused(Refusal refusal, String detail) implements OrderResult {
    /** Checks the components. */
    public Refused {
      requireNonNull(refusal, "refusal");
    }
  }

  /** The order may have been executed, or may still be. */
  record OrderOutcomeUnknown(String reason) implements OrderResult {}

  /** The worker incarnation that the call was meant for has ended. */
  record IncarnationMismatch() implements OrderResult, ListingResult {}

  /** The reason why an order was refused. */
  enum Refusal {
    /** This attempt, or a later one, has already ended on the worker. */
    STALE_ATTEMPT,
    /** The worker has insufficient free capacity. */
    INSUFFICIENT_CAPACITY,
    /** The deadline has passed. */
    DEADLINE_PASSED,
    /** The worker is unhealthy or currently accepts no orders. */
    UNAVAILABLE,
    /** The worker lacks what the order needs, such as a valid ticket. */
    INVALID,
    /** The worker rejects the order as malformed, and is likely to reject it again. */
    MALFORMED;

    /** Returns the outcome of a run whose start was refused. */
    RunOutcome outcome() {
      return this == MALFORMED ? RunOutcome.REJECTED : RunOutcome.REFUSED;
    }
  }

  /** The result of a listing request. */
  sealed interface ListingResult {}

  /** Maximum number of ends in one listing; more are listed once these are acknowledged. */
  int MAX_LISTED_ENDS = 500;

  /**
   * All active runs, and the oldest {@link #MAX_LISTED_ENDS} unacknowledged ends.
   *
   * @param workerClock the worker's clock in milliseconds when it responded
   */
  record Listing(long workerClock, ImmutableList<ActiveRun> running, ImmutableList<EndedRun> ended)
      implements ListingResult {
    /** Returns whether the worker may have ends that the listing lacks. */
    public boolean isTruncated() {
      return ended.size() >= MAX_LISTED_ENDS;
    }
  }

  /**
   * The worker has started again under its id: another incarnation responded and may have executed
   * earlier calls that were meant for this one.
   *
   * @param successor the name of the incarnation that responded
   */
  record SucceededBy(String successor) implements ListingResult {
    /** Checks the component. */
    public SucceededBy {
      requireNonNull(successor, "successor");
    }
  }

  /**
   * The worker did not respond to a listing request, or did not do what it asks for.
   *
   * @param fenced whether it ignores this process, as another one has taken it over
   */
  record ListingFailed(String reason, boolean fenced) implements ListingResult {
    /** Creates the result of a worker that does not respond. */
    public ListingFailed(String reason) {
      this(reason, false);
    }

    /** Returns the result of a worker that another process has taken over. */
    public static ListingFailed fencedByAnother() {
      return new ListingFailed("the fence of another process is higher", true);
    }

    /** Returns the reason for logs. */
    @Override
    public String toString() {
      return reason;
    }
  }

  /**
   * An active run.
   *
   * @param checkpoint the newest checkpoint; empty for none
   * @param percent progress in percent
   * @param measurement tail latency in milliseconds of a service task; for others the processors in
   *     use, in thousandths
   */
  record ActiveRun(RunKey run, String checkpoint, int percent, long measurement) {}

  /**
   * A run that has ended.
   *
   * @param sequence numbers the ends of a worker incarnation, from 1
   * @param checkpoint the newest checkpoint; empty for none
   */
  record EndedRun(long sequence, RunKey run, RunOutcome outcome, String checkpoint) {}

  /**
   * An order to start a run.
   *
   * @param program opaque to the scheduler
   * @param deadline the lease deadline of all runs on the worker, in milliseconds of its clock
   * @param checkpoint where to resume; empty to start from the beginning
   * @param ticket issued by the placement adviser; empty if none is needed
   */
  record StartOrder(RunKey run, String program, long deadline, String checkpoint, String ticket) {}

  /** Starts a run. */
  CompletableFuture<OrderResult> start(String worker, StartOrder start);

  /**
   * Stops a run. Once accepted, neither this attempt nor an earlier one of the task starts on the
   * worker again.
   */
  CompletableFuture<OrderResult> stop(String worker, RunKey run);

  /** Limits a run to a share of its full speed, 0 to 100 percent. */
  CompletableFuture<OrderResult> throttle(String worker, RunKey run, int percent);

  /**
   * Lists the runs and invalidates the calls of earlier incarnations of this process: from before
   * the listing, the worker executes none that is still under way, such as an unanswered start.
   *
   * <p>Must precede all other calls to the worker incarnation, which it ignores otherwise.
   */
  CompletableFuture<ListingResult> takeOver(String worker);

  /**
   * Lists the runs, extends their lease to the deadline, and discards acknowledged ends.
   *
   * @param deadline the lease deadline in milliseconds of the worker's clock; empty leaves it
   *     unchanged
   * @param acknowledged sequence number up to which the owners have made ends durable
   * @param waitMillis how long the worker waits for a run to end before it responds; 0 for no wait
   */
  CompletableFuture<ListingResult> list(
      String worker, OptionalLong deadline, long acknowledged, long waitMillis);
}
