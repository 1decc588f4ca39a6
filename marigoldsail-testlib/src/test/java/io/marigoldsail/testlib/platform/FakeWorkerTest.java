package io.marigoldsail.testlib.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.WorkerStart;
import io.marigoldsail.lease.WorkerTask;
import io.marigoldsail.lease.WorkerTask.State;
import io.marigoldsail.testlib.VirtualClock;
import org.junit.jupiter.api.Test;

final class FakeWorkerTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final VirtualClock clock = new VirtualClock();
  private final FakeWorker worker = new FakeWorker("vm-1", new Sizes(4_000, 8 << 20, 0), clock);

  @Test
  void stopsATaskWhoseLeaseIsNotRenewed() {
    worker.start(start("payout/1", 1, 1_000, "work=5000"));
    advanceMillis(500);
    assertTrue(worker.renew("payout/1", 1, 2_000).isOk());
    advanceMillis(2_500);

    WorkerRun run = worker.runs().get(0);
    assertEquals(State.LAPSED, run.state());
    assertEquals(2_000, run.endMillis());
    assertFalse(worker.renew("payout/1", 1, 9_000).isOk());
  }

  @Test
  void rejectsStartsOverItsCapacity() {
    assertTrue(worker.start(start("a/1", 1, 1_000, "")).isOk());
    assertTrue(worker.start(start("a/2", 2, 1_000, "")).isOk());
    assertFalse(worker.start(start("a/3", 3, 1_000, "")).isOk());

    assertEquals(1, worker.rejectedOverCapacity());
  }

  @Test
  void resumesFromItsCheckpoint() {
    worker.start(start("payout/1", 1, 60_000, "work=5000"));
    worker.throttle("payout/1", 1, 50);
    advanceMillis(4_000);
    WorkerTask saved = worker.checkpoint("payout/1", 1).value();
    worker.stop("payout/1", 1);
    assertEquals("progress-2000", saved.checkpoint());

    WorkerStart resumed =
        new WorkerStart(
            "payout/1", 2, 2, 60_000, Sizes.NONE, "work=5000", saved.checkpoint(), 0, 0);
    worker.start(resumed);
    advanceMillis(3_000);

    assertEquals(State.DONE, worker.list().value().tasks().get(1).state());
  }

  @Test
  void startsNothingUnderATokenThatWasStopped() {
    worker.stop("payout/1", 7);

    assertFalse(worker.start(start("payout/1", 7, 1_000, "")).isOk());
    assertTrue(worker.start(start("payout/1", 8, 1_000, "")).isOk());
  }

  @Test
  void reportsUsageWithDelay() {
    worker.start(start("payout/1", 1, 60_000, "work=50000"));
    advanceMillis(1_500);
    assertEquals(0, worker.usage().value().size());
    advanceMillis(2_500);
    assertEquals(1, worker.usage().value().size());
  }

  private void advanceMillis(long millis) {
    clock.advance(millis * NANOS_PER_MILLI);
  }

  private static WorkerStart start(String task, long token, long deadline, String command) {
    return new WorkerStart(
        task, 1, token, deadline, new Sizes(2_000, 1 << 20, 0), command, "", 0, 0);
  }
}
