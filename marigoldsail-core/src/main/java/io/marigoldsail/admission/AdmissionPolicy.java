package io.marigoldsail.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides at the moment of arrival whether a request may wait, so that a refusal costs no time.
 *
 * <p>Three load patterns. A burst of a second: what can be served before its deadline is let in,
 * for nothing is gained by refusing it; without this, a bound on the delay throws away what fits.
 * Overload that lasts: a queue that stays long serves nobody more, so once there was a queue longer
 * than the target delay for {@link #OVERLOAD_ENTRY_NANOS}, only as many wait as the target delay
 * covers; without this, everybody is served just before the deadline, or after it. The tighter
 * bound holds until nothing was refused for {@link #OVERLOAD_EXIT_NANOS}, else the queue would grow
 * long again every time it dips under the target. A hot caller or key: what counts is not the
 * length of the queue but how many would be served before this request (see {@link
 * FairQueue#countAhead}); a hot caller has its own requests before it, others pass them by. So
 * nobody is refused for another's queue, and nobody who was let in is thrown out later; without it,
 * one caller fills the queue and the rest are refused.
 *
 * <p>While overload lasts, who comes later with an earlier turn passes those who wait. So a request
 * is refused then also if its turn is far away at the pace of late ({@link
 * FairQueue#expectedCountAhead}); without it a hot caller's requests waited for up to 200 ms though
 * the target delay is 20 ms. A burst is short, and its wait is bounded by the deadline alone.
 *
 * <p>A request within its caller's turn may wait twice the target delay. With one entry of nine, 20
 * ms are ten places, and a chance bunch of quiet callers fills them while a hot one keeps the
 * slots.
 *
 * <p>Grounds for the figures: a second is the longest burst that the users named, and as long
 * without a refusal is the shortest sign that it is over.
 *
 * <p>Not safe for use by several threads.
 */
public final class AdmissionPolicy {
  /** How long a queue may stay above the target delay before it counts as overload. */
  static final long OVERLOAD_ENTRY_NANOS = 1_000_000_000L;

  /** How long nothing may have been refused before overload counts as over. */
  static final long OVERLOAD_EXIT_NANOS = 1_000_000_000L;

  /** How many target delays a request may wait whose caller and key have not had their turn. */
  static final int UNBACKLOGGED_TARGET_DELAYS = 2;

  /** How many target delays a request's turn may be away, those counted who will pass it. */
  static final int EXPECTED_WAIT_TARGET_DELAYS = 4;

  private static final int MIN_BOUNDED_LENGTH = 4;
  private static final long NEVER = Long.MIN_VALUE;

  private long aboveTargetDelaySince = NEVER;
  private boolean overloaded;
  private long lastRefusal = NEVER;

  /** What was decided on a request that cannot be sent at once. */
  public enum Verdict {
    /** It may wait. */
    WAIT,
    /** The queue is as long as it may be, or too long for this request's deadline. */
    FULL,
    /** The same, and most of what it would wait for is of the same caller or key. */
    OVER_SHARE
  }

  /**
   * What a decision depends on.
   *
   * @param waiting how many requests wait in all
   * @param ahead how many would be served before it
   * @param expectedAhead the same with those that come later and pass it, if the load lasts
   * @param overFairShare whether its caller or key has more waiting than an even part
   * @param backlogged whether its caller or key has had its turn
   * @param requestsPerSecond how many are served a second
   * @param targetDelayNanos the longest wait under lasting overload
   * @param maxWaiting the most that may wait whatever their delay
   * @param slackNanos how long the request can wait and still be answered by its deadline
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
      checkArgument(requestsPerSecond > 0, "perSecond is not positive: %s", requestsPerSecond);
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

  /** Creates a policy that has seen no overload. */
  public AdmissionPolicy() {}

  /** Decides on one request, and takes note of a refusal. */
  public Verdict decide(QueueState situation, long now) {
    updateOverload(situation, now);
    Verdict verdict = verdict(situation);
    if (verdict != Verdict.WAIT) {
      lastRefusal = now;
    }
    return verdict;
  }

  private Verdict verdict(QueueState situation) {
    if (situation.waiting() >= situation.maxWaiting()) {
      return situation.refusal();
    }
    if (situation.waitNanos(situation.ahead()) > situation.slackNanos()) {
      return situation.refusal();
    }
    return overloaded && isTooLong(situation) ? situation.refusal() : Verdict.WAIT;
  }

  private static boolean isTooLong(QueueState situation) {
    if (situation.waiting() < MIN_BOUNDED_LENGTH
        || situation.expectedAhead() < MIN_BOUNDED_LENGTH) {
      return false;
    }
    double wait = situation.waitNanos(situation.ahead());
    double expected = situation.waitNanos(situation.expectedAhead());
    return wait > situation.targetDelayNanos() * situation.targetDelayMultiple()
        || expected > situation.targetDelayNanos() * EXPECTED_WAIT_TARGET_DELAYS;
  }

  private void updateOverload(QueueState situation, long now) {
    if (overloaded) {
      overloaded = lastRefusal != NEVER && now - lastRefusal < OVERLOAD_EXIT_NANOS;
      return;
    }
    if (situation.waitNanos(situation.waiting()) <= situation.targetDelayNanos()) {
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

  /** Returns whether the service has been full for so long that the target delay bounds waits. */
  public boolean isOverloaded() {
    return overloaded;
  }
}
