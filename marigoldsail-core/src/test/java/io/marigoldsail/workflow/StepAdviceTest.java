package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class StepAdviceTest {
  private static final VmOffer A = WorkflowFixtures.offer("a", 9_000, 0, 0);
  private static final VmOffer B = WorkflowFixtures.offer("b", 8_000, 0, 0);
  private static final VmOffer C = WorkflowFixtures.offer("c", 7_000, 0, 0);

  private static String worker(VmOffer offer) {
    return offer.place().worker();
  }

  /**
   * Each step of each workflow asked about the whole fleet, again and again; the adviser, which
   * takes one call at a time, told the first ones when the others were late already. A call names
   * the best few, then others, and nobody twice while the answer holds.
   */
  @Test
  void queriesTheBestWorkersFirstAndEachOnce() {
    StepAdvice advice = new StepAdvice();
    assertEquals(List.of(worker(A), worker(B)), advice.workersToQuery(List.of(A, B, C), 2, 0));
    advice.recordAnswer(List.of(worker(A), worker(B)), Map.of(worker(B), "t"), 100);
    assertEquals(List.of(B), advice.allowedOffers(List.of(A, B, C), 99));
    assertEquals(Optional.of("t"), advice.ticket(worker(B), 99));
    assertEquals(List.of(worker(C)), advice.workersToQuery(List.of(A, B, C), 2, 99));
  }

  @Test
  void queriesAgainAfterExpiryButNotAfterRefusal() {
    StepAdvice advice = new StepAdvice();
    advice.recordAnswer(List.of(worker(A), worker(B)), Map.of(worker(B), "t"), 100);
    assertEquals(List.of(), advice.allowedOffers(List.of(A, B), 100));
    assertEquals(List.of(worker(B)), advice.workersToQuery(List.of(A, B), 9, 100));
  }
}
