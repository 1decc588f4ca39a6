package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class InterferenceBudgetTest {
  @Test
  void admitsTheFirstTaskAndThenUpToAnEighthOfTheVm() {
    assertTrue(InterferenceBudget.admits(16_000, 0, 5_000));
    assertTrue(InterferenceBudget.admits(16_000, 1_000, 1_000));
    assertFalse(InterferenceBudget.admits(16_000, 1_000, 1_001));
  }

  /**
   * Images prove to disturb once four of their tasks stand beside services. None of them gets
   * anywhere there; those beyond what the services bear have to go, and the oldest stay.
   */
  @Test
  void excessIsTheTasksThatArrivedLast() {
    assertEquals(List.of(2, 3), InterferenceBudget.excess(16_000, List.of(900L, 900L, 900L, 900L)));
    assertEquals(List.of(1), InterferenceBudget.excess(16_000, List.of(1_500L, 900L, 400L)));
    assertEquals(List.of(), InterferenceBudget.excess(16_000, List.of()));
  }
}
