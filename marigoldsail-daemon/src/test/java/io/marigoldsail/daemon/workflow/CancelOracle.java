package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.workflow.QueryResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * What callers know of each workflow from the answers to their calls, and the first answer or start
 * that contradicts it. One thread.
 */
final class CancelOracle {
  /** Time after the answer to a cancel from which no task may start, in milliseconds. */
  private static final long CANCEL_MILLIS = 3_000;

  /** Time after its acceptance from which a workflow is visible, in milliseconds. */
  private static final long VISIBLE_MILLIS = 3_000;

  private static final long FACT = -1;

  private record Note(long millis, long workflow, String text) {}

  /** What callers know of one workflow. */
  private static final class Known {
    private OptionalLong acceptedAt = OptionalLong.empty();
    private OptionalLong cancelAnsweredAt = OptionalLong.empty();
    private boolean cancelSent;
    private boolean started;
    private boolean shownCancelled;
  }

  private final LongSupplier millis;
  private final Map<Long, Known> known = new HashMap<>();
  private final List<Note> notes = new ArrayList<>();
  private Optional<String> violation = Optional.empty();

  CancelOracle(LongSupplier millis) {
    this.millis = requireNonNull(millis, "millis");
  }

  Optional<String> violation() {
    return violation;
  }

  /** Returns what happened to the workflow, and to all of them. */
  private String history(long workflow) {
    return notes.stream()
        .filter(note -> note.workflow() == workflow || note.workflow() == FACT)
        .map(note -> note.millis() + " " + note.text())
        .collect(Collectors.joining("\n"));
  }

  /** Records something that concerns all workflows. */
  void note(String text) {
    note(FACT, text);
  }

  /** Records something that concerns one workflow. */
  void note(long workflow, String text) {
    notes.add(new Note(millis.getAsLong(), workflow, text));
  }

  private Known known(long workflow) {
    return known.computeIfAbsent(workflow, unused -> new Known());
  }

  private void check(boolean holds, long workflow, String text) {
    if (!holds && violation.isEmpty()) {
      note(workflow, "VIOLATION " + text);
      violation =
          Optional.of("workflow " + workflow + ": " + text + "\n" + history(workflow) + "\n");
    }
  }

  /** Records that the caller has received the acceptance of the workflow. */
  void accepted(long workflow) {
    Known of = known(workflow);
    if (of.acceptedAt.isEmpty()) {
      of.acceptedAt = OptionalLong.of(millis.getAsLong());
    }
  }

  boolean isAccepted(long workflow) {
    return known(workflow).acceptedAt.isPresent();
  }

  /** Returns whether a cancel was answered, so that the workflow may not start any more. */
  boolean isCancelAnswered(long workflow) {
    return known(workflow).cancelAnsweredAt.isPresent();
  }

  boolean isCancelSent(long workflow) {
    return known(workflow).cancelSent;
  }

  void cancelSent(long workflow) {
    known(workflow).cancelSent = true;
  }

  /**
   * Records the answer to a cancel.
   *
   * @param sentAt when the cancel was sent
   */
  void cancelAnswered(long workflow, long sentAt, QueryResult answer) {
    Known of = known(workflow);
    boolean unknown = answer == QueryResult.UNKNOWN_WORKFLOW;
    boolean wasAccepted = of.acceptedAt.isPresent() && of.acceptedAt.getAsLong() <= sentAt;
    check(!(unknown && wasAccepted), workflow, "a cancel of an accepted workflow finds none");
    boolean terminal = answer.status().isPresent() && answer.status().get().isTerminal();
    check(
        terminal || unknown || answer == QueryResult.UNAVAILABLE,
        workflow,
        "a cancel leaves it " + answer);
    check(
        !of.shownCancelled || answer == QueryResult.CANCELLED || answer == QueryResult.UNAVAILABLE,
        workflow,
        "a cancel finds it " + answer + " after it was shown as cancelled");
    if ((terminal || unknown) && of.cancelAnsweredAt.isEmpty()) {
      of.cancelAnsweredAt = OptionalLong.of(millis.getAsLong());
    }
    of.shownCancelled |= answer == QueryResult.CANCELLED;
  }

  /**
   * Records the answer to a query of the status.
   *
   * @param sentAt when the query was sent
   * @param newest whether it is to contain everything that was answered before: a former owner that
   *     does not know of its successor yet shows an earlier status
   */
  void statusAnswered(long workflow, long sentAt, QueryResult answer, boolean newest) {
    Known of = known(workflow);
    if (answer == QueryResult.UNAVAILABLE) {
      return;
    }
    boolean visible =
        of.acceptedAt.isPresent() && sentAt >= of.acceptedAt.getAsLong() + VISIBLE_MILLIS;
    check(
        !(visible && answer == QueryResult.UNKNOWN_WORKFLOW),
        workflow,
        "an accepted workflow is not visible");
    check(
        of.cancelSent || answer != QueryResult.CANCELLED,
        workflow,
        "shown as cancelled though nobody cancelled it");
    check(
        !newest || !of.shownCancelled || answer == QueryResult.CANCELLED,
        workflow,
        "shown as " + answer + " after it was shown as cancelled");
    check(answer != QueryResult.FAILED, workflow, "shown as failed");
    of.shownCancelled |= answer == QueryResult.CANCELLED;
  }

  /** Records the start of a task. */
  void started(long workflow, String run) {
    note(workflow, "STARTS " + run);
    Known of = known(workflow);
    of.started = true;
    check(
        of.cancelAnsweredAt.isEmpty()
            || millis.getAsLong() <= of.cancelAnsweredAt.getAsLong() + CANCEL_MILLIS,
        workflow,
        "a task starts after its cancel was answered");
  }

  boolean hasStarted(long workflow) {
    return known(workflow).started;
  }

  /** Records a violation of an expectation that the caller has checked. */
  void expect(boolean holds, long workflow, String text) {
    check(holds, workflow, text);
  }
}
