package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.daemon.workflow.LossEvidence.Kind;
import io.marigoldsail.protocol.VmReport;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class IncarnationHistoryTest {
  private static final String ASKED = "incarnation-asked";

  /** More incarnations than a history remembers. */
  private static final int MANY = 1_000;

  private final IncarnationHistory history = new IncarnationHistory();

  private VmReport report(String worker, long ordersSeen) {
    VmReport report = VmReport.newBuilder().setWorker(worker).setOrdersSeen(ordersSeen).build();
    history.recordReport(report);
    return report;
  }

  private Optional<Kind> evidence(String worker, VmReport newest) {
    return history.evidenceOfLoss(worker, newest, 0).map(LossEvidence::kind);
  }

  /** Guards against a report without a worker that ends runs on a worker that is up. */
  @Test
  void reportWithoutAWorkerIsNoEvidence() {
    report("incarnation-1", 0);
    assertTrue(history.tryAsk(ASKED, 1, 0));
    VmReport withoutWorker = report("", 5);
    assertEquals(Optional.empty(), evidence("incarnation-1", withoutWorker));
    assertEquals(Optional.empty(), evidence(ASKED, withoutWorker));
  }

  /** Guards against a question that ends runs on the incarnation that answers it. */
  @Test
  void answerOfTheIncarnationItselfIsNoEvidence() {
    assertTrue(history.tryAsk(ASKED, 1, 0));
    assertEquals(Optional.empty(), evidence(ASKED, report(ASKED, 1)));
  }

  /** Guards against a history that grows with each crash, and against a forgotten fact. */
  @Test
  void forgottenIncarnationIsAskedForAgain() {
    report("incarnation-0", 0);
    for (int i = 1; i < MANY; i++) {
      report("incarnation-" + i, 0);
    }
    VmReport newest = report("incarnation-" + MANY, 0);
    assertEquals(
        Optional.of(Kind.SUCCESSOR_ON_CONNECTION), evidence("incarnation-" + (MANY - 1), newest));
    assertEquals(Optional.empty(), evidence("incarnation-0", newest));
    assertTrue(history.tryAsk("incarnation-0", 1, 0));
    assertEquals(
        Optional.of(Kind.ANSWERED), evidence("incarnation-0", report("incarnation-" + MANY, 1)));
  }

  /** Guards against one question with each run of the incarnation. */
  @Test
  void questionIsPendingOnce() {
    assertTrue(history.tryAsk(ASKED, 1, 0));
    assertFalse(history.tryAsk(ASKED, 1, 1));
    assertEquals(ImmutableSet.of(ASKED), history.removePendingQuestions());
    assertFalse(history.hasPendingQuestions());
    assertTrue(history.tryAsk(ASKED, 2, IncarnationHistory.QUESTION_INTERVAL_NANOS));
    assertTrue(history.hasPendingQuestions());
  }
}
