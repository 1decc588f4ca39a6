package io.marigoldsail.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides on arrival whether a request may be queued, so that a refusal costs the caller no time.
 * An admitted request is never dropped later to admit another.
 *
 * <p>Short burst: a request is admitted if it can be served before its deadline. Refusing such a
 * request would gain nothing, and a bound on the delay would refuse requests that can be served in
 * time.
 *
 * <p>Lasting overload: once the queue was longer than the target delay for {@link
 * #OVERLOAD_ENTRY_NANOS}, only as many requests are admitted as are served within the target delay.
 * A longer queue raises no throughput; without the bound every request is served just before its
 * deadline, or after it. The bound stays until no request was refused for {@link
 * #OVERLOAD_EXIT_NANOS}; otherwise the queue would grow again each time it falls below the target
 * delay.
 *
 * <p>Hot caller or key: the wait is computed from the requests that would be served before this one
 * (see {@link FairQueue#countAhead}), not from the queue length. A hot caller has its own backlog
 * before it and other callers overtake that backlog. Without this, one caller fills the queue and
 * all others are refused.
 *
 * <p>During lasting overload, later requests with an earlier virtual start time overtake the queued
 * ones. A request is then also refused if its expected wait, with those requests included, is too
 * long ({@link FairQueue#expectedCountAhead}). Without this, requests of a hot caller waited up to
 * 200 ms at a target delay of 20 ms. In a short burst the deadline alone bounds the wait.
 *
 * <p>A request of a caller without backlog may wait twice the target delay. With nine entries, 20
 * ms are ten requests at one entry, and a random cluster of such callers fills them while a hot
 * caller keeps the slots busy.
 *
 * <p>{@link #OVERLOAD_ENTRY_NANOS} is the longest burst that must be served; an equally long time
 * without a refusal, {@link #OVERLOAD_EXIT_NANOS}, is the shortest sign that overload is over.
 *
 * <p>Not thread-safe.
 */
public final class AdmissionPolicy {
  /** Time that the queue must exceed the target delay before the policy enters overload. */
  static final long OVERLOAD_ENTRY_NANOS = 1_000_000_000L;

  /** Time without a refusal after which the policy leaves overload. */
  static final long OVERLOAD_EXIT_NANOS = 1_000_000_000L;

  /**
   * Longest wait during overload, in target delays, of a request whose caller and key have no
   * backlog.
   */
  static final int UNBACKLOGGED_TARGET_DELAYS = 2;

  /**
   * Longest expected wait during overload, in target delays, including requests that overtake it.
   */
  static final int EXPECTED_WAIT_TARGET_DELAYS = 4;

  /**
   * During overload, no delay bound applies while fewer requests than this wait or are expected
   * ahead.
   */
  private static final int MIN_BOUNDED_LENGTH = 4;

  private static final long NEVER = Long.MIN_VALUE;

  private long aboveTargetDelaySince = NEVER;
  private boolean overloaded;
  private long lastRefusal = NEVER;

  /** The decision on a request that cannot be sent immediately. */
  public enum Verdict {
    /** The request is admitted to the queue. */
    WAIT,
    /** The queue is at its limit, or its delay is too long for this request. */
    FULL,
    /** Like {@link #FULL}, and the caller or key holds more than its fair share of the queue. */
    OVER_SHARE
  }

  /**
   * The state of the queue as one request sees it. Immutable.
   *
   * @param waiting number of requests in the queue
   * @param ahead number of queued requests that would be served before this one
   * @param expectedAhead like {@code ahead}, plus later requests expected to overtake it while the
   *     load lasts
   * @param overFairShare whether its caller or key holds more than its fair share of the queue
   * @param backlogged whether its caller or key is backlogged: its virtual start time is in the
   *     future
   * @param requestsPerSecond requests served per second
   * @param targetDelayNanos longest wait during lasting overload, in nanoseconds
   * @param maxWaiting maximum number of queued requests, whatever their delay
   * @param slackNanos longest wait after which the request can still be answered by its deadline,
   *     in nanoseconds
   */
  public record QueueState(
      int waiting,
      int ahead,
      int expectedAhead,
      boolean overFairShare,
      boolean backlogged,
      double requestsPerSecond,
      long targetDelayNanos,
      int maxWaiting,
      long slackNanos) {
    /** Checks the components. */
    public QueueState {
      checkArgument(
          requestsPerSecond > 0, "requestsPerSecond is not positive: %s", requestsPerSecond);
    }

    private double waitNanos(int requests) {
      return requests / requestsPerSecond * 1e9;
    }

    private int targetDelayMultiple() {
      return backlogged ? 1 : UNBACKLOGGED_TARGET_DELAYS;
    }

    private Verdict refusal() {
      return overFairShare ? Verdict.OVER_SHARE : Verdict.FULL;
    }
  }

  /** Creates a policy that is not overloaded. */
  public AdmissionPolicy() {}

  /**
   * Decides on one request and records a refusal.
   *
   * @param now current monotonic time, in nanoseconds
   */
  public Verdict decide(QueueState queue, long now) {
    updateOverload(queue, now);
    Verdict verdict = verdict(queue);
    if (verdict != Verdict.WAIT) {
      lastRefusal = now;
    }
    return verdict;
  }

  private Verdict verdict(QueueState queue) {
    if (queue.waiting() >= queue.maxWaiting()) {
      return queue.refusal();
    }
    if (queue.waitNanos(queue.ahead()) > queue.slackNanos()) {
      return queue.refusal();
    }
    return overloaded && isTooLong(queue) ? queue.refusal() : Verdict.WAIT;
  }

  private static boolean isTooLong(QueueState queue) {
    if (queue.waiting() < MIN_BOUNDED_LENGTH || queue.expectedAhead() < MIN_BOUNDED_LENGTH) {
      return false;
    }
    double waitNanos = queue.waitNanos(queue.ahead());
    double expectedWaitNanos = queue.waitNanos(queue.expectedAhead());
    return waitNanos > queue.targetDelayNanos() * queue.targetDelayMultiple()
        || expectedWaitNanos > queue.targetDelayNanos() * EXPECTED_WAIT_TARGET_DELAYS;
  }

  private void updateOverload(QueueState queue, long now) {
    if (overloaded) {
      overloaded = lastRefusal != NEVER && now - lastRefusal < OVERLOAD_EXIT_NANOS;
      return;
    }
    if (queue.waitNanos(queue.waiting()) <= queue.targetDelayNanos()) {
      aboveTargetDelaySince = NEVER;
      return;
    }
    if (aboveTargetDelaySince == NEVER) {
      aboveTargetDelaySince = now;
    }
    if (now - aboveTargetDelaySince >= OVERLOAD_ENTRY_NANOS) {
      overloaded = true;
      lastRefusal = now;
      aboveTargetDelaySince = NEVER;
    }
  }

  /** Returns whether overload has lasted long enough for the target delay to bound waits. */
  public boolean isOverloaded() {
    return overloaded;
  }
}
