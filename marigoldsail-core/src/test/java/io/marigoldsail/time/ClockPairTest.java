package io.marigoldsail.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class ClockPairTest {
  private static final long MAX_DIFFERENCE_MILLIS =
      TimeUnit.NANOSECONDS.toMillis(ClockPair.MAX_DIFFERENCE_NANOS);

  private final List<String> divergences = new ArrayList<>();
  private long steadyMillis = 7_000;
  private long wallMillis = 1_000_000;
  private final ClockPair clocks =
      new ClockPair(
          () -> TimeUnit.MILLISECONDS.toNanos(steadyMillis),
          () -> wallMillis,
          (steady, wall) ->
              divergences.add(
                  TimeUnit.NANOSECONDS.toMillis(steady)
                      + "/"
                      + TimeUnit.NANOSECONDS.toMillis(wall)));

  private void run(long millis) {
    steadyMillis += millis;
    wallMillis += millis;
  }

  private static long ageMillis(ClockReading reading, ClockReading now) {
    return TimeUnit.NANOSECONDS.toMillis(reading.ageNanos(now));
  }

  /** A suspension of any length that is not counted makes evidence newer than it is. */
  @Property(tries = 200)
  void ageCountsASuspension(
      @ForAll @LongRange(max = 60_000) long running,
      @ForAll @LongRange(max = 60_000) long suspended) {
    ClockReading before = clocks.read();
    run(running);
    wallMillis += suspended;
    assertEquals(running + suspended, ageMillis(before, clocks.read()));
  }

  /** A clock that is stepped must not make evidence newer. */
  @Property(tries = 200)
  void stepNeverMakesAReadingNewer(
      @ForAll @LongRange(max = 60_000) long running,
      @ForAll @LongRange(min = -60_000, max = 60_000) long step) {
    ClockReading before = clocks.read();
    run(running);
    wallMillis += step;
    assertTrue(ageMillis(before, clocks.read()) >= running);
  }

  @Test
  void suspensionIsADivergence() {
    ClockReading before = clocks.read();
    run(100);
    wallMillis += 5_000;
    ClockReading after = clocks.read();
    assertFalse(before.isContinuousUntil(after));
    assertEquals(List.of("100/5100"), divergences);
    run(100);
    assertTrue(after.isContinuousUntil(clocks.read()));
  }

  /** A step back of the same length would hide an earlier suspension. */
  @Test
  void stepBackDoesNotUndoADivergence() {
    ClockReading before = clocks.read();
    wallMillis += 5_000;
    clocks.read();
    wallMillis -= 5_000;
    assertFalse(before.isContinuousUntil(clocks.read()));
    assertEquals(List.of("0/5000", "0/-5000"), divergences);
  }

  /** Guards against appends that only the drift or the resolution of a wall clock causes. */
  @Test
  void smallDifferencesAreNoDivergence() {
    ClockReading before = clocks.read();
    for (int i = 0; i < 100; i++) {
      run(10);
      wallMillis += i % 2 == 0 ? MAX_DIFFERENCE_MILLIS : -MAX_DIFFERENCE_MILLIS;
      assertTrue(before.isContinuousUntil(clocks.read()));
    }
    assertEquals(List.of(), divergences);
  }
}
