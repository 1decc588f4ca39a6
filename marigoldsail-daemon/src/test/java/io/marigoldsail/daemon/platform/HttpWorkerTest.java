package io.marigoldsail.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.WorkerBoot;
import io.marigoldsail.lease.WorkerStart;
import io.marigoldsail.lease.WorkerTask.State;
import io.marigoldsail.testlib.platform.StandInWorker;
import io.marigoldsail.testlib.platform.WorkerFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HttpWorkerTest {
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final long LEASE_MILLIS = 600_000;

  private StandInWorker service;
  private PlatformClient client;
  private HttpWorker worker;

  @BeforeEach
  void start() {
    service = new StandInWorker("vm-1", "127.0.0.1", 0, new Sizes(16_000, 60L << 30, 1)).start();
    client = PlatformClient.start("test");
    worker = new HttpWorker(client, service.address(), TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() {
    client.close();
    service.close();
  }

  @Test
  void runsAnAttemptFromStartToStop() {
    WorkerBoot boot = worker.boot().value();
    WorkerStart start = start(boot, "payout/3", 7);

    assertEquals(State.RUNNING, worker.start(start).value().state());
    assertTrue(worker.renew("payout/3", 7, boot.clockMillis() + 2 * LEASE_MILLIS).isOk());
    assertTrue(worker.throttle("payout/3", 7, 50).isOk());
    assertTrue(worker.checkpoint("payout/3", 7).value().checkpoint().startsWith("progress-"));
    assertEquals(1, worker.list().value().tasks().size());
    assertEquals(State.STOPPED, worker.stop("payout/3", 7).value().state());
    assertTrue(worker.usage().isOk());
  }

  @Test
  void distinguishesRefusalFromUnknownOutcome() {
    // An answer is lost after the worker started the task; then the worker refuses a second one.
    // Whoever takes the first for a refusal starts the task elsewhere too.
    WorkerBoot boot = worker.boot().value();
    service.worker().setFaults(WorkerFaults.none().withLoseAnswers(1));
    assertKind(ErrorKind.OUTCOME_UNKNOWN, worker.start(start(boot, "payout/1", 1)));
    assertEquals(1, service.worker().runs().size());

    assertKind(ErrorKind.CONFLICT, worker.start(start(boot, "payout/1", 0)));
    assertKind(ErrorKind.NOT_FOUND, worker.renew("payout/9", 1, Long.MAX_VALUE));
    service.worker().setFaults(WorkerFaults.none().withDown(true));
    assertKind(ErrorKind.TARGET_UNREACHABLE, worker.start(start(boot, "payout/2", 2)));
  }

  /**
   * A worker's VM is gone. A client without a connection to it cannot have started anything. One
   * that still holds a connection may not yet have heard of its end, and cannot know.
   */
  @Test
  void refusedConnectionHasNoEffect() {
    WorkerBoot boot = worker.boot().value();
    String address = service.address();
    service.close();
    try (PlatformClient fresh = PlatformClient.start("fresh")) {
      HttpWorker unconnected = new HttpWorker(fresh, address, TIMEOUT_MILLIS);
      assertKind(ErrorKind.TARGET_UNREACHABLE, unconnected.start(start(boot, "payout/2", 2)));
    }
    Result<?> pooled = worker.start(start(boot, "payout/2", 2));
    ErrorKind kind = ((Result.Failed<?>) pooled).failure().kind();
    assertTrue(
        kind == ErrorKind.TARGET_UNREACHABLE || kind == ErrorKind.OUTCOME_UNKNOWN, kind::code);
  }

  private static WorkerStart start(WorkerBoot boot, String task, long token) {
    long deadline = boot.clockMillis() + LEASE_MILLIS;
    Sizes sizes = new Sizes(1_000, 1L << 30, 0);
    return new WorkerStart(task, 1, token, deadline, sizes, "work=100000", "", 0, 1_000);
  }

  private static void assertKind(ErrorKind kind, Result<?> result) {
    assertEquals(kind, ((Result.Failed<?>) result).failure().kind(), result.toString());
  }
}
