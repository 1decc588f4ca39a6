package io.marigoldsail.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class FairQueueTest {
  private final FairQueue<Integer> queue = new FairQueue<>();

  // A script sends a hundred requests at once. In a first-come-first-served queue the single
  // request of another caller, sent a moment later, would wait behind all of them.
  @Test
  void servesAQuietCallerBeforeTheBacklogOfAHotOne() {
    for (int i = 0; i < 100; i++) {
      queue.add(i, "hot", "");
    }
    pollMany(10);
    queue.add(1_000, "quiet", "");
    assertTrue(pollMany(6).contains(1_000));
  }

  // Many callers request the same key. A request for this key waits in its backlog, but a request
  // of the same caller for another key must not be delayed by it.
  @Test
  void delaysOnlyRequestsForAHotKey() {
    for (int i = 0; i < 100; i++) {
      queue.add(i, "caller-" + i, "church-yard");
    }
    queue.add(1_000, "motorist", "church-yard");
    queue.add(2_000, "motorist", "hotel-lot");
    List<Integer> order = pollMany(102);
    assertTrue(order.indexOf(2_000) < 10, order::toString);
    assertTrue(order.indexOf(1_000) > 90, order::toString);
  }

  @Property(seed = "7", tries = 200)
  void countsRequestsServedBeforeANewOne(
      @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 0, max = 30) Integer> callers,
      @ForAll @IntRange(min = 0, max = 10) int served) {
    FairQueue<Integer> fresh = new FairQueue<>();
    for (int i = 0; i < callers.size(); i++) {
      fresh.add(i, "caller-" + callers.get(i) / 5, "key-" + callers.get(i) % 5);
    }
    for (int i = 0; i < served; i++) {
      fresh.poll();
    }
    int ahead = fresh.countAhead("caller-0", "key-0");
    fresh.add(-1, "caller-0", "key-0");
    int servedBefore = 0;
    while (fresh.poll().orElseThrow().item() != -1) {
      servedBefore++;
    }
    assertEquals(servedBefore, ahead);
  }

  @Property(seed = "8", tries = 200)
  void servesRestoredAndRemainingRequestsExactlyOnce(
      @ForAll @Size(max = 100) List<@IntRange(min = 0, max = 9) Integer> steps) {
    FairQueue<Integer> fresh = new FairQueue<>();
    List<FairQueue.Ticket<Integer>> tickets = new ArrayList<>();
    int expected = 0;
    for (int step : steps) {
      if (step < 6) {
        tickets.add(fresh.add(tickets.size(), "caller-" + step, ""));
        expected++;
      } else if (step < 8) {
        fresh.poll().ifPresent(fresh::restore);
      } else if (!tickets.isEmpty()) {
        expected -= fresh.remove(tickets.get(tickets.size() - 1)) ? 1 : 0;
      }
    }
    int size = fresh.size();
    int polled = 0;
    while (fresh.poll().isPresent()) {
      polled++;
    }
    assertEquals(expected, size);
    assertEquals(expected, polled);
  }

  // A scanner sends a million requests under as many caller names. If each left a clock behind, the
  // entry would eventually run out of memory.
  @Test
  void keepsABoundedNumberOfClocks() {
    queue.add(-1, "first", "");
    for (int i = 0; i < 20_000; i++) {
      queue.add(i, "caller-" + i, "key-" + i);
      queue.poll();
    }
    assertEquals(FairQueue.MAX_FLOWS, queue.callerClockCount());
  }

  @Test
  void detectsACallerOverItsFairShare() {
    for (int i = 0; i < 20; i++) {
      queue.add(i, "hot", "");
    }
    for (int i = 0; i < 4; i++) {
      queue.add(i, "quiet-" + i, "");
    }
    assertTrue(queue.isOverFairShare("hot", ""));
    assertFalse(queue.isOverFairShare("quiet-0", ""));
  }

  private List<Integer> pollMany(int count) {
    List<Integer> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      queue.poll().ifPresent(ticket -> items.add(ticket.item()));
    }
    return items;
  }

  // Ten quiet callers send requests continuously and a hot one has eight queued. Its ninth request
  // has 18 requests before it, but the ten callers keep overtaking it: 40 are served first, not 18.
  @Test
  void estimatesLaterRequestsThatOvertake() {
    FairQueue<Integer> queue = new FairQueue<>();
    int callers = 10;
    for (int i = 0; i < 61 * callers; i++) {
      queue.add(i, "quiet-" + i % callers, "");
      if (i >= callers) {
        queue.poll();
      }
    }
    for (int i = 0; i < 8; i++) {
      queue.add(i, "hot", "");
    }
    assertEquals(18, queue.countAhead("hot", ""));
    assertEquals(40, queue.expectedCountAhead("hot", ""));
  }
}
