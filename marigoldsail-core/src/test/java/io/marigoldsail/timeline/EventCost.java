package io.marigoldsail.timeline;

import io.marigoldsail.time.WallClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;

/**
 * Measures what recording one event costs, by number of threads; run by {@code
 * bin/measure-timeline}, not by the build.
 */
public final class EventCost {
  private static final int ROUNDS = 5;
  private static final int EVENTS = 2_000_000;

  private EventCost() {}

  public static void main(String[] arguments) throws InterruptedException {
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
}
