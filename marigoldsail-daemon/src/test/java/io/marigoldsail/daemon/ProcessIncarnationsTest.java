package io.marigoldsail.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ProcessIncarnationsTest {
  private static final long TODAY = 1_796_000_000_000L;

  /**
   * Two entries are started by one script in the same millisecond. Both named their requests alike,
   * a side process mixed them up, and 38 of 1,000 callers read that their outcome was unknown.
   */
  @Test
  void processesStartedInOneMillisecondGetDifferentIncarnations() {
    SplittableRandom random = new SplittableRandom(3);
    Set<Long> seen = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      seen.add(ProcessIncarnations.next(() -> TODAY, random));
    }
    assertTrue(seen.size() >= 19, "different ones: " + seen.size());
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
