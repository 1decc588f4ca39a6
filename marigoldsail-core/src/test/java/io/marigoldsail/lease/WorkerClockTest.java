package io.marigoldsail.lease;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class WorkerClockTest {
  private static final long MILLI = 1_000_000;

  /**
   * The worker reads its clock at any moment of a call of any length. A deadline turned into its
   * clock must never be later than the one meant, or a task would outlive its lease.
   */
  @Property(tries = 500, seed = "5")
  void neverConvertsToALaterDeadline(
      @ForAll @IntRange(max = 1_000_000) int called,
      @ForAll @IntRange(max = 60_000) int callMillis,
      @ForAll @IntRange(max = 100) int readAtPercent,
      @ForAll @IntRange(min = -1_000_000, max = 1_000_000) int originDifference,
      @ForAll @IntRange(max = 2_000_000) int deadline) {
    long readAt = called + (long) callMillis * readAtPercent / 100;
    long workerMillis = readAt + originDifference;
    WorkerClock clock =
        WorkerClock.of(workerMillis, called * MILLI, ((long) called + callMillis) * MILLI);

    long turned = clock.deadlineMillis(deadline * MILLI);

    assertTrue(turned <= (long) deadline + originDifference);
    assertTrue(turned >= (long) deadline + originDifference - callMillis);
  }
}
