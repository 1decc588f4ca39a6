package io.marigoldsail.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventBuffer;
import io.marigoldsail.timeline.EventFilter;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventPage;
import io.marigoldsail.timeline.HybridClock;
import io.marigoldsail.timeline.TimedEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

final class CausalEventMergerTest {
  private static final int PROCESSES = 3;
  private static final int STEPS = 200;

  /** Processes with skewed clocks, and a follower that reads them one by one. */
  private static final class Simulation {
    final List<HybridClock> clocks = new ArrayList<>();
    final List<EventBuffer> buffers = new ArrayList<>();
    final long[] next = new long[PROCESSES];
    final CausalEventMerger merger = new CausalEventMerger();
    final List<TimedEvent> shown = new ArrayList<>();
    List<TimedEvent> roundEvents = new ArrayList<>();
    int nextToRead;
    long completeUpTo = Long.MAX_VALUE;

    Simulation(Random random) {
      for (int i = 0; i < PROCESSES; i++) {
        long millis = random.nextInt(5_000);
        HybridClock clock = new HybridClock(() -> millis);
        clocks.add(clock);
        buffers.add(new EventBuffer("p" + i, clock, 1 << 10));
      }
    }

    void readOneProcess() {
      EventPage page = buffers.get(nextToRead).page(next[nextToRead], 1_000, EventFilter.ALL);
      next[nextToRead] = page.next();
      roundEvents.addAll(page.events());
      completeUpTo = Math.min(completeUpTo, page.asOf());
      nextToRead++;
      if (nextToRead == PROCESSES) {
        shown.addAll(merger.add(roundEvents, completeUpTo));
        completeUpTo = Long.MAX_VALUE;
        roundEvents = new ArrayList<>();
        nextToRead = 0;
      }
    }
  }

  /**
   * The tool reads an entry, then the entry sends a request and a VM starts it, then the tool reads
   * the VM: it has the start without the send. Printed in reading order, the request would start
   * before it is sent.
   */
  @Property(seed = "61", tries = 100)
  void neverShowsEffectBeforeCause(@ForAll long seed) {
    Random random = new Random(seed);
    Simulation simulation = new Simulation(random);
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(3) == 0) {
        simulation.readOneProcess();
      }
      int sender = random.nextInt(PROCESSES);
      int receiver = random.nextInt(PROCESSES);
      record(simulation, sender, EventKind.REQUEST_SENT, step);
      simulation.clocks.get(receiver).observe(simulation.clocks.get(sender).now());
      if (random.nextInt(3) == 0) {
        simulation.readOneProcess();
      }
      record(simulation, receiver, EventKind.REQUEST_STARTED, step);
    }
    for (int i = 0; i < 3 * PROCESSES; i++) {
      simulation.readOneProcess();
    }
    simulation.shown.addAll(simulation.merger.flush());
    check(simulation.shown);
  }

  private static void record(Simulation simulation, int process, EventKind kind, int step) {
    simulation.buffers.get(process).record(Event.of(kind).withRequest("r/" + step));
  }

  private static void check(List<TimedEvent> shown) {
    assertEquals(2 * STEPS, shown.size(), "every event is shown once");
    Map<String, Integer> sentAt = new HashMap<>();
    Map<String, Long> lastOfProcess = new HashMap<>();
    for (int i = 0; i < shown.size(); i++) {
      TimedEvent timed = shown.get(i);
      long before = lastOfProcess.getOrDefault(timed.process(), 0L);
      assertTrue(timed.sequence() > before, "the order of one process is preserved");
      lastOfProcess.put(timed.process(), timed.sequence());
      if (timed.event().kind() == EventKind.REQUEST_SENT) {
        sentAt.put(timed.event().request(), i);
      } else {
        assertTrue(sentAt.containsKey(timed.event().request()), "started before it was sent");
      }
    }
  }
}
