package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ListingTurnsTest {
  private final VirtualLoop time = new VirtualLoop();
  private int asked;
  private final ListingTurns turns = new ListingTurns(time.loop(), this::throwOnFirst);

  private void throwOnFirst() {
    asked++;
    if (asked == 1) {
      throw new IllegalStateException("told to throw");
    }
  }

  /**
   * A worker was to be asked for what it runs, and making the question threw. The listing counted
   * as under way for good, and the worker was never asked again.
   */
  @Test
  void aQuestionThatThrowsIsAskedAgain() {
    turns.after(1);
    time.advance(2_000);
    assertEquals(2, asked);
  }
}
