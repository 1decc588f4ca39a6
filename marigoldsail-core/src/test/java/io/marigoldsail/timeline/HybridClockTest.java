package io.marigoldsail.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class HybridClockTest {
  private static final long NOON = 1_790_000_000_000L;
  private static final int PROCESSES = 4;

  /** A wall clock that is set by hand, backwards too. */
  private static final class SettableClock {
    private long millis;
  }

  /**
   * Story: the wall clocks of the VMs disagree by seconds and are stepped back now and then. An
   * answer stamped by a clock that is behind would be shown before its request.
   */
  @Property(seed = "41", tries = 100)
  void causeHasALowerStampThanItsEffect(
      @ForAll long seed, @ForAll @IntRange(max = 30_000) int disagreement) {
    Random random = new Random(seed);
    List<SettableClock> walls = new ArrayList<>();
    List<HybridClock> clocks = new ArrayList<>();
    for (int i = 0; i < PROCESSES; i++) {
      SettableClock wall = new SettableClock();
      wall.millis = NOON + random.nextInt(disagreement + 1);
      walls.add(wall);
      clocks.add(new HybridClock(() -> wall.millis));
    }
    long[] lastOf = new long[PROCESSES];
    for (int step = 0; step < 300; step++) {
      int sender = random.nextInt(PROCESSES);
      int receiver = random.nextInt(PROCESSES);
      walls.get(sender).millis += random.nextInt(20) - 5;
      long sent = clocks.get(sender).now();
      assertTrue(sent > lastOf[sender], "stamps of one process rise");
      lastOf[sender] = sent;
      if (sender != receiver) {
        assertTrue(clocks.get(receiver).observe(sent));
        long received = clocks.get(receiver).now();
        assertTrue(received > sent, "the effect is after its cause");
        assertTrue(received > lastOf[receiver]);
        lastOf[receiver] = received;
      }
    }
    long latestWall = walls.stream().mapToLong(w -> w.millis).max().orElseThrow();
    long latestStamp =
        HybridClock.millis(clocks.stream().mapToLong(HybridClock::now).max().orElse(0));
    assertTrue(latestStamp <= latestWall + 1_600, "stamps stay near the wall clocks");
  }

  @Test
  void stampTooFarAheadIsIgnored() {
    HybridClock clock = new HybridClock(() -> NOON);
    assertTrue(clock.observe(HybridClock.stampOf(NOON + HybridClock.MAX_LEAD_MILLIS)));
    assertFalse(clock.observe(HybridClock.stampOf(NOON + HybridClock.MAX_LEAD_MILLIS + 1)));
    assertFalse(clock.observe(-1));
    assertEquals(NOON + HybridClock.MAX_LEAD_MILLIS, HybridClock.millis(clock.now()));
  }

  @Test
  void counterOverflowCarriesIntoTheMilliseconds() {
    HybridClock clock = new HybridClock(() -> NOON);
    long before = clock.now();
    for (int i = 0; i < 100_000; i++) {
      long now = clock.now();
      assertTrue(now > before);
      before = now;
    }
    assertEquals(NOON + 1, HybridClock.millis(before));
  }

  @Property(seed = "42")
  void eventOrderDoesNotDependOnReadOrder(@ForAll long seed) {
    Random random = new Random(seed);
    List<TimedEvent> events = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String process = "p" + random.nextInt(3);
      Event event = Event.of(EventKind.TASK_STARTED).withTask("t/" + i);
      events.add(new TimedEvent(i, random.nextInt(10), process, event));
    }
    List<TimedEvent> shuffled = new ArrayList<>(events);
    Collections.shuffle(shuffled, random);
    Collections.sort(events);
    Collections.sort(shuffled);
    assertEquals(events, shuffled);
  }
}
