package io.marigoldsail.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WorkerHealthTest {
  private final WorkerHealth health = new WorkerHealth();

  private void succeedElsewhere(String job) {
    for (int vm = 2; vm <= 6; vm++) {
      health.recordEnd("vm-" + vm, job, true, 0);
    }
  }

  private void failThreeTimes(long nowMillis) {
    for (int i = 0; i < 3; i++) {
      health.recordEnd("vm-1", "job", false, nowMillis);
    }
  }

  /** A worker fails all it is given, of a job that succeeds elsewhere. It gets nothing more. */
  @Test
  void quarantinesAWorkerThatFailsEverything() {
    succeedElsewhere("job");
    failThreeTimes(0);

    assertFalse(health.isUsable("vm-1", 0, 0));
    assertTrue(health.isUsable("vm-2", 0, 0));
  }

  /** A job fails wherever it runs; that is no worker's fault. */
  @Test
  void aJobThatFailsEverywhereQuarantinesNoWorker() {
    for (int vm = 1; vm <= 5; vm++) {
      for (int i = 0; i < 50; i++) {
        health.recordEnd("vm-" + vm, "broken", false, 0);
      }
    }

    for (int vm = 1; vm <= 5; vm++) {
      assertTrue(health.isUsable("vm-" + vm, 0, 0));
    }
  }

  /** One VM happens to get the first tasks of several broken jobs, but does good work besides. */
  @Test
  void toleratesFailuresAmongSuccesses() {
    succeedElsewhere("job");
    for (int i = 0; i < 20; i++) {
      health.recordEnd("vm-1", "job", true, 0);
      health.recordEnd("vm-1", "broken-" + i, false, 0);
    }

    assertTrue(health.isUsable("vm-1", 0, 0));
  }

  /** It is tried again after 30 s with a single task, after a failure only after a minute. */
  @Test
  void retriesWithGrowingBackOff() {
    succeedElsewhere("job");
    failThreeTimes(0);
    assertFalse(health.isUsable("vm-1", 0, 29_999));
    assertTrue(health.isUsable("vm-1", 0, 30_000));
    assertFalse(health.isUsable("vm-1", 1, 30_000));

    health.recordEnd("vm-1", "job", false, 31_000);
    assertFalse(health.isUsable("vm-1", 0, 90_999));
    assertTrue(health.isUsable("vm-1", 0, 91_000));
  }

  @Test
  void aSuccessOnProbationEndsTheQuarantine() {
    succeedElsewhere("job");
    failThreeTimes(0);
    health.recordEnd("vm-1", "job", true, 40_000);

    assertTrue(health.isUsable("vm-1", 7, 40_000));
  }
}
