package io.marigoldsail.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class BackoffTest {
  @Property(seed = "3201")
  void delayStaysWithinItsRange(
      @ForAll @LongRange(min = 2, max = 1_000_000_000L) long first,
      @ForAll @LongRange(min = 0, max = 1_000_000_000_000L) long more,
      @ForAll @IntRange(min = 1, max = 80) int failures) {
    Backoff backoff = new Backoff(first, first + more, new Random(1));
    long wait = 0;
    for (int i = 0; i < failures; i++) {
      wait = backoff.recordFailure();
    }

    assertTrue(wait >= first / 2 && wait <= first + more, "wait " + wait);
  }

  @Test
  void retriesOfManyReadersAreSpread() {
    // The log comes back while 1,000 readers wait for it. Were all waits alike, all would ask in
    // the same millisecond and the log would go down again.
    long limit = 1_000_000_000L;
    int tenths = 10;
    int[] inTenth = new int[tenths];
    for (int reader = 0; reader < 1_000; reader++) {
      Backoff backoff = new Backoff(50_000_000L, limit, new Random(reader));
      long wait = 0;
      for (int i = 0; i < 10; i++) {
        wait = backoff.recordFailure();
      }
      inTenth[(int) Math.min(tenths - 1, (wait - limit / 2) * tenths / (limit / 2))]++;
    }

    for (int count : inTenth) {
      assertTrue(count > 50 && count < 150, "readers in a tenth of the span: " + count);
    }
  }

  @Test
  void successResetsTheDelay() {
    Backoff backoff = new Backoff(100, 10_000, new Random(1));
    for (int i = 0; i < 5; i++) {
      backoff.recordFailure();
    }
    backoff.recordSuccess();

    assertEquals(false, backoff.isFailing());
    assertTrue(backoff.recordFailure() <= 100);
  }
}
