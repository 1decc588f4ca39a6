package io.marigoldsail.timeline;

import io.marigoldsail.time.WallClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;

/**
 * Measures the cost of recording one event by number of threads. Run by {@code
 * bin/measure-timeline}, not by the build.
 */
public final class EventCost {
  private static final int ROUNDS = 5;
  private static final int EVENTS = 2_000_000;

  private EventCost() {}

  public static void main(String[] arguments) throws InterruptedException {
    System.out.printf(Locale.ROOT, "heap_bytes_per_event=%.0f%n", bytesPerEvent());
    EventBuffer buffer = new EventBuffer("entry-1", new HybridClock(WallClock.system()), 1 << 16);
    for (int threads : new int[] {1, 2, 4}) {
      double best = Double.MAX_VALUE;
      for (int round = 0; round < ROUNDS; round++) {
        best = Math.min(best, nanosPerEvent(buffer, threads));
      }
      System.out.printf(Locale.ROOT, "threads=%d thread_nanos_per_event=%.0f%n", threads, best);
    }
  }

  private static double nanosPerEvent(EventBuffer buffer, int threads) throws InterruptedException {
    CountDownLatch ended = new CountDownLatch(threads);
    List<Thread> all = new ArrayList<>();
    for (int t = 0; t < threads; t++) {
      all.add(new Thread(() -> recordAll(buffer, EVENTS / threads, ended)));
    }
    long start = System.nanoTime();
    all.forEach(Thread::start);
    ended.await();
    long took = System.nanoTime() - start;
    return (double) took * threads / EVENTS;
  }

  private static void recordAll(EventBuffer buffer, int count, CountDownLatch ended) {
    for (int i = 0; i < count; i++) {
      buffer.record(
          Event.of(EventKind.REQUEST_SENT).withRequest("1f/7").withVm("vm-1").withCaller("desk"));
    }
    ended.countDown();
  }

  /**
   * Returns the heap per event. Ids are separate strings, as in requests, and every third event has
   * a detail.
   */
  private static double bytesPerEvent() {
    long before = usedBytes();
    int capacity = 1 << 16;
    EventBuffer buffer = new EventBuffer("entry-1", new HybridClock(WallClock.system()), capacity);
    for (int i = 0; i < capacity; i++) {
      Event event = Event.of(EventKind.REQUEST_SENT).withRequest("19ae5b2c0d1/" + i).withVm("vm-1");
      buffer.record(i % 3 == 0 ? event.withDetail("least loaded of " + i + " targets") : event);
    }
    long after = usedBytes();
    return (after - before) / (double) buffer.page(0, capacity, EventFilter.ALL).events().size();
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
