package io.marigoldsail.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryAfterEstimatorTest {
  // Ten thousand motorists are refused within a second. Told the same time, they would all come
  // back in one second and be refused again.
  @Test
  void spreadsRetriesOverTheTimeToServeThem() {
    RetryAfterEstimator times = new RetryAfterEstimator(new SplittableRandom(3));
    int[] perSecond = new int[40];
    for (int i = 0; i < 10_000; i++) {
      perSecond[(int) (times.retryAfterMillis(0, 1_000, i * 100_000L) / 1_000)]++;
    }
    for (int returning : perSecond) {
      assertTrue(returning < 4_000, "returning in one second: " + returning);
    }
    assertTrue(perSecond[7] > 0, "nobody comes back after seven seconds");
  }

  @Test
  void ignoresOldRefusals() {
    RetryAfterEstimator times = new RetryAfterEstimator(new SplittableRandom(3));
    for (int i = 0; i < 100_000; i++) {
      times.retryAfterMillis(0, 1_000, 0);
    }
    long later = 60_000_000_000L;
    assertTrue(times.retryAfterMillis(0, 1_000, later) <= 1_001);
  }
}
