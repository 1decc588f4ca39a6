package io.marigoldsail.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ByteBudgetTest {
  private final ByteBudget budget = new ByteBudget(10);

  @Test
  void nothingIsReservedBeyondTheTotal() {
    assertTrue(budget.tryReserve(7));
    assertFalse(budget.tryReserve(4));
    assertFalse(budget.tryReserve(Long.MAX_VALUE));
    assertTrue(budget.tryReserve(3));
    assertEquals(10, budget.used());
  }

  @Test
  void releasedBytesCanBeReservedAgain() {
    budget.tryReserve(10);
    budget.release(4);

    assertTrue(budget.tryReserve(4));
  }

  @Test
  void moreThanWasReservedCannotBeReleased() {
    budget.tryReserve(1);

    assertThrows(IllegalStateException.class, () -> budget.release(2));
  }
}
