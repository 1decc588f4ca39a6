package io.marigoldsail.cli.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.testlib.VirtualClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class LoadRunTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final VirtualClock clock = new VirtualClock();

  private final Pacer pacer =
      new Pacer() {
        @Override
        public long nanos() {
          return clock.nanos();
        }

        @Override
        public void awaitNanos(long deadlineNanos) {
          if (deadlineNanos > clock.nanos()) {
            clock.advanceTo(deadlineNanos);
          }
        }
      };

  /**
   * The system stalls for a second at 100 requests per second and blocks the sending thread, which
   * sees one slow request where callers would see a hundred. Measured from the send time, p99 would
   * look healthy.
   */
  @Test
  void latencyCountsFromThePlannedTime() {
    LoadSender stallsOnce =
        request -> {
          clock.advance(request.sequence() == 500 ? 1_000 * MILLI : MILLI);
          return CompletableFuture.completedFuture(LoadResult.SERVED);
        };
    LoadRun run = new LoadRun(schedule(plan(100, 10_000, true), 1), stallsOnce, pacer, 10, 0);
    run.sendAll();
    LoadStatistics counts = run.statistics();
    assertEquals(1_000, counts.served());
    assertEquals(1, counts.latencyFromSend().getValueAtPercentile(99) / 1_000);
    long corrected = counts.latencyFromPlan().getValueAtPercentile(99) / 1_000;
    assertTrue(corrected > 850 && corrected < 1_000, "p99 in ms: " + corrected);
    // A stall of 1000 ms at intervals of 10 ms delays 100 requests and those of the catch-up.
    assertTrue(counts.latencyFromPlan().getCountBetweenValues(2_000, 2_000_000) >= 100);
  }

  @Test
  void requestsOverTheOpenLimitAreCountedAndNotSent() {
    List<LoadRequest> sent = new ArrayList<>();
    LoadSender neverAnswers =
        request -> {
          sent.add(request);
          return new CompletableFuture<>();
        };
    LoadRun run = new LoadRun(schedule(plan(1_000, 100, true), 1), neverAnswers, pacer, 7, 0);
    run.sendAll();
    assertEquals(7, sent.size());
    assertEquals(7, run.open());
    assertEquals(Map.of("not-sent-too-many-open", 93L), run.statistics().byKind());
  }

  @Test
  void warmupIsSentButNotReported() {
    LoadSender serves = request -> CompletableFuture.completedFuture(LoadResult.SERVED);
    LoadRun run = new LoadRun(schedule(plan(1_000, 100, true), 1), serves, pacer, 7, 40);
    run.sendAll();
    assertEquals(100, run.sent());
    assertEquals(60, run.reported());
    assertEquals(60, run.statistics().served());
  }

  @Test
  void scheduleKeepsRateWeightsAndShares() {
    LoadSchedule schedule = schedule(plan(1_000, 60_000, false), 7);
    Map<String, Integer> callers = new HashMap<>();
    Map<String, Integer> keys = new HashMap<>();
    int posts = 0;
    int count = 0;
    Optional<LoadRequest> next = schedule.next();
    while (next.isPresent()) {
      LoadRequest request = next.get();
      callers.merge(request.caller(), 1, Integer::sum);
      keys.merge(request.key(), 1, Integer::sum);
      posts += request.idempotent() ? 0 : 1;
      count++;
      next = schedule.next();
    }
    assertEquals(60_000, count, 1_000);
    assertEquals(0.75, callers.get("hot") / (double) count, 0.01);
    assertEquals(0.3, posts / (double) count, 0.01);
    // Zipf with exponent 1: the second key is half as frequent as the first.
    assertEquals(2, keys.get("key-0") / (double) keys.get("key-1"), 0.1);
  }

  @Test
  void sameSeedGivesTheSameRequests() {
    LoadSchedule first = schedule(plan(100, 1_000, false), 3);
    LoadSchedule second = schedule(plan(100, 1_000, false), 3);
    for (int i = 0; i < 50; i++) {
      assertEquals(first.next(), second.next());
    }
  }

  private static LoadSchedule schedule(LoadPlan plan, long seed) {
    return new LoadSchedule(plan, new SplittableRandom(seed));
  }

  private static LoadPlan plan(double rate, long durationMillis, boolean evenly) {
    return new LoadPlan(
        List.of("http://a", "http://b"),
        rate,
        durationMillis,
        evenly,
        Map.of("hot", 3.0, "cold", 1.0),
        0.3,
        1_000,
        0,
        10,
        1,
        1);
  }
}
