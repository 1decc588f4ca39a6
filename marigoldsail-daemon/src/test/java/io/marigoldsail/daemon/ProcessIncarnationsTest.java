package io.marigoldsail.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ProcessIncarnationsTest {
  private static final long TODAY = 1_796_000_000_000L;

  /**
   * Two entries started in the same millisecond must not have the same incarnation. With equal
   * incarnations they create equal request ids, a side process confuses their requests, and callers
   * receive an unknown outcome (38 of 1,000 callers).
   */
  @Test
  void processesStartedInOneMillisecondGetDifferentIncarnations() {
    SplittableRandom random = new SplittableRandom(3);
    Set<Long> incarnations = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      incarnations.add(ProcessIncarnations.next(() -> TODAY, random));
    }
    assertTrue(incarnations.size() >= 19, "distinct incarnations: " + incarnations.size());
  }

  @Test
  void laterIncarnationIsHigherAndFitsJsonNumber() {
    SplittableRandom random = new SplittableRandom(4);
    long earlier = ProcessIncarnations.next(() -> TODAY, random);
    long later = ProcessIncarnations.next(() -> TODAY + 1, random);
    assertTrue(later > earlier);
    assertTrue(later < 1L << 53, "too large for a JSON number: " + later);
  }
}
