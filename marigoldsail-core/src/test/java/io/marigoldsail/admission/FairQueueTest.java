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

  // A guesthouse chain's script sends a hundred sighting checks in a moment. The dispatcher who
  // asks once, a moment later, would wait behind all of them if the queue were first come first
  // served.
  @Test
  void servesAQuietCallerBeforeTheBacklogOfAHotOne() {
    for (int i = 0; i < 100; i++) {
      queue.add(i, "hot", "");
    }
    pollMany(10);
    queue.add(1_000, "quiet", "");
    assertTrue(pollMany(6).contains(1_000));
  }

  // On market day everybody asks about the same church yard. A motorist who asks about it waits his
  // turn for it; his question about another lot is not held up by that.
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
    int before = 0;
    while (fresh.poll().orElseThrow().item() != -1) {
      before++;
    }
    assertEquals(before, ahead);
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

  // A scanner sends a million requests under as many names. If each name left a clock behind, the
  // entry would run out of memory days later.
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

  // Ten quiet callers ask in turn, a hot one has eight requests waiting. Its ninth has 18 before
  // it,
  // but at each of its turns the ten pass it again: 40 are served first, not 18.
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
