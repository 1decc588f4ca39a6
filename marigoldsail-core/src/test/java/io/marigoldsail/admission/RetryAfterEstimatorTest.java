package io.marigoldsail.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryAfterEstimatorTest {
  // Ten thousand requests are refused within a second. With the same retry-after time, they would
  // all return in the same second and be refused again.
  @Test
  void spreadsRetriesOverTheTimeToServeThem() {
    RetryAfterEstimator estimator = new RetryAfterEstimator(new SplittableRandom(3));
    int[] perSecond = new int[40];
    for (int i = 0; i < 10_000; i++) {
      perSecond[(int) (estimator.retryAfterMillis(0, 1_000, i * 100_000L) / 1_000)]++;
    }
    for (int retries : perSecond) {
      assertTrue(retries < 4_000, "retries in one second: " + retries);
    }
    assertTrue(perSecond[7] > 0, "no retry in the eighth second");
  }

  @Test
  void ignoresOldRefusals() {
    RetryAfterEstimator estimator = new RetryAfterEstimator(new SplittableRandom(3));
    for (int i = 0; i < 100_000; i++) {
      estimator.retryAfterMillis(0, 1_000, 0);
    }
    long later = 60_000_000_000L;
    assertTrue(estimator.retryAfterMillis(0, 1_000, later) <= 1_001);
  }
}
