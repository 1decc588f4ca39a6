package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.daemon.workflow.LossEvidence.Kind;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.WorkerIncarnation;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The worker incarnations that one connection of a side process named, and those that the owner
 * asked for on it. Tells which of them are gone.
 *
 * <p>A VM has one worker at a time, and no incarnation returns; a worker that starts again under
 * its id is another incarnation. So an incarnation is gone once the side process names another one
 * at a later time. Reports of one connection are in order, but a report may be older than an
 * incarnation that the owner knows from elsewhere: from another connection or from a former owner.
 * A report that counts a frame which was sent after the owner knew the incarnation is not.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
final class IncarnationHistory {
  /** Minimum interval between two questions for the same incarnation, in nanoseconds. */
  static final long QUESTION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Incarnations of each kind that are remembered; a forgotten one is asked for again. */
  private static final int MAX_INCARNATIONS = 16;

  /**
   * What was asked for one incarnation.
   *
   * @param firstFrame the number of the first frame sent after the incarnation was known; answers
   *     to the first question count as well as those to the last one
   * @param firstAskedAt when that was
   * @param lastAskedAt when the last question was added
   */
  private record Questions(long firstFrame, long firstAskedAt, long lastAskedAt) {}

  private final Set<String> named = new LinkedHashSet<>();
  private final Map<String, Questions> questions = new LinkedHashMap<>();
  private final Set<String> pending = new LinkedHashSet<>();

  /** Records the worker that a report of the connection names, if it names one. */
  void recordReport(VmReport report) {
    if (!report.getWorker().isEmpty() && named.add(report.getWorker())) {
      trim(named);
    }
  }

  /**
   * Returns the evidence that the incarnation is gone, or empty if there is none.
   *
   * @param newest the last report of the connection, already recorded
   */
  Optional<LossEvidence> evidenceOfLoss(String worker, VmReport newest, long now) {
    if (worker.equals(newest.getGoneWorker())) {
      return Optional.of(LossEvidence.of(Kind.GONE_REPORTED));
    }
    if (newest.getWorker().isEmpty() || WorkerIncarnation.mayBeSame(newest.getWorker(), worker)) {
      return Optional.empty();
    }
    if (named.contains(worker)) {
      return Optional.of(LossEvidence.of(Kind.SUCCESSOR_ON_CONNECTION));
    }
    return Optional.ofNullable(questions.get(worker))
        .filter(asked -> asked.firstFrame() <= newest.getOrdersSeen())
        .map(asked -> LossEvidence.of(Kind.ANSWERED, now - asked.firstAskedAt()));
  }

  /**
   * Adds a question for the incarnation, which is known from elsewhere, unless one was added a
   * short time ago; returns whether it was added.
   *
   * @param nextFrameNumber the number of the next frame of the connection
   */
  boolean tryAsk(String worker, long nextFrameNumber, long now) {
    requireNonNull(worker, "worker");
    Questions asked = questions.get(worker);
    if (asked != null && now - asked.lastAskedAt() < QUESTION_INTERVAL_NANOS) {
      return false;
    }
    questions.put(
        worker,
        asked == null
            ? new Questions(nextFrameNumber, now, now)
            : new Questions(asked.firstFrame(), asked.firstAskedAt(), now));
    trim(questions.keySet());
    pending.add(worker);
    return true;
  }

  /** Returns whether a question is to be sent. */
  boolean hasPendingQuestions() {
    return !pending.isEmpty();
  }

  /** Removes and returns the incarnations that are to be asked for. */
  ImmutableSet<String> removePendingQuestions() {
    ImmutableSet<String> removed = ImmutableSet.copyOf(pending);
    pending.clear();
    return removed;
  }

  private static void trim(Collection<String> workers) {
    if (workers.size() > MAX_INCARNATIONS) {
      Iterator<String> eldest = workers.iterator();
      eldest.next();
      eldest.remove();
    }
  }
}
