package io.marigoldsail.daemon.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.testlib.platform.WorkerFaults;
import io.marigoldsail.testlib.platform.WorkerRun;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of tasks under failures of processes, network and log, judged by the workers' records. */
class TaskFaultsTest {
  private static final Sizes CAPACITY_FOR_FOUR = new Sizes(4_000, 100_000, 0);
  private static final long LONG_MILLIS = 60_000;

  private static void assertNoViolations(TaskTestCluster cluster) {
    assertEquals(List.of(), cluster.violations());
    assertEquals(0, cluster.askedOverCapacity());
  }

  private static void assertAllDone(
      TaskTestCluster cluster, String job, int count, long maxMillis) {
    assertTrue(cluster.runUntilEnded(maxMillis), () -> "not ended: " + cluster.tasks(job));
    assertEquals(count, cluster.jobState(job).done());
    assertNoViolations(cluster);
  }

  /**
   * An entry claims tasks and dies before its starts reach the VMs. Another entry must start them;
   * otherwise they stay claimed forever.
   */
  @Test
  void anotherEntryStartsTasksClaimedByADeadEntry() {
    TaskTestCluster cluster = new TaskTestCluster(2, 1, 2, CAPACITY_FOR_FOUR);
    cluster.run(3_000);
    cluster.cut("entry-1>vm-1");
    cluster.cut("entry-1>vm-2");
    cluster.submit(TaskTestCluster.job("payout", 6, 2_000));
    cluster.run(500);
    cluster.killEntry("entry-1");
    assertEquals(List.of(), cluster.runs());
    assertEquals(6, cluster.jobState("payout").claimed());

    cluster.startEntry("entry-2");

    assertAllDone(cluster, "payout", 6, 30_000);
  }

  /**
   * All entries die at once while tasks run, and a new entry starts without local state. No task
   * may be lost or started twice, because the log and the workers hold all of the state.
   */
  @Test
  void tasksSurviveTheDeathOfEveryEntry() {
    TaskTestCluster cluster = new TaskTestCluster(3, 3, 3, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 30, 3_000));
    cluster.run(4_000);
    cluster.killEntry("entry-1");
    cluster.killEntry("entry-2");
    cluster.killEntry("entry-3");
    cluster.run(2_000);
    cluster.startEntry("entry-4");

    assertAllDone(cluster, "payout", 30, 60_000);
    assertEquals(30, cluster.runs().size());
  }

  /**
   * The side process of a VM is killed and started again, as in an upgrade, while its tasks run at
   * the worker. The new process must adopt them: neither start them again nor let their leases
   * expire.
   */
  @Test
  void aNewSideProcessAdoptsRunningTasks() {
    TaskTestCluster cluster = new TaskTestCluster(4, 2, 1, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 4, LONG_MILLIS));
    cluster.run(5_000);
    cluster.vm(1).killSide();
    cluster.run(1_000);
    cluster.vm(1).startSide();

    assertAllDone(cluster, "payout", 4, 2 * LONG_MILLIS);
    assertEquals(4, cluster.runs().size());
  }

  /**
   * The side process of a VM dies and is not restarted. Its worker stops the tasks when their
   * leases expire; only after that may they run elsewhere.
   */
  @Test
  void tasksMoveAfterTheirLeasesWhenTheSideProcessDies() {
    TaskTestCluster cluster = new TaskTestCluster(5, 2, 2, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 6, LONG_MILLIS));
    cluster.run(5_000);
    cluster.vm(1).killSide();

    assertAllDone(cluster, "payout", 6, 4 * LONG_MILLIS);
    assertTrue(cluster.runs().size() > 6);
  }

  /**
   * A side process is paused until after its leases have expired; its tasks run elsewhere when it
   * resumes. It must not renew or start anything by its old state, or by messages that were queued
   * while it was paused.
   */
  @Test
  void aSideProcessResumedAfterItsLeasesRunsNothingTwice() {
    TaskTestCluster cluster = new TaskTestCluster(6, 2, 2, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 6, LONG_MILLIS));
    cluster.run(5_000);
    cluster.vm(1).pauseSide(true);
    cluster.run(40_000);
    cluster.vm(1).pauseSide(false);

    assertAllDone(cluster, "payout", 6, 4 * LONG_MILLIS);
  }

  /**
   * A delayed start arrives after its VM was revoked, cleared and has joined again. The task runs
   * elsewhere by then. The start names the old registration and must be ignored.
   */
  @Test
  void aStartFromBeforeARevocationIsIgnored() {
    TaskTestCluster cluster = new TaskTestCluster(7, 1, 2, CAPACITY_FOR_FOUR);
    cluster.run(3_000);
    cluster.vm(1).pauseSide(true);
    cluster.submit(TaskTestCluster.job("payout", 4, LONG_MILLIS));
    cluster.run(30_000);
    cluster.vm(1).pauseSide(false);

    assertAllDone(cluster, "payout", 4, 4 * LONG_MILLIS);
  }

  /**
   * A VM loses its connections to all entries while its side process and worker run on. Its leases
   * expire, its tasks run elsewhere, and the VM joins again once it is reconnected.
   */
  @Test
  void anIsolatedVmStopsItsTasksBeforeOthersStartThem() {
    TaskTestCluster cluster = new TaskTestCluster(8, 3, 2, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 8, LONG_MILLIS));
    cluster.run(5_000);
    cluster.cut("vm-1");
    cluster.run(45_000);
    cluster.reconnect("vm-1");

    assertAllDone(cluster, "payout", 8, 6 * LONG_MILLIS);
    assertTrue(cluster.runs().stream().anyMatch(run -> run.state().name().equals("LAPSED")));
  }

  /**
   * One of three entries no longer reaches a VM that the others reach. The VM must not be revoked,
   * and its tasks must run on.
   */
  @Test
  void aVmUnreachableForOneEntryIsNotRevoked() {
    TaskTestCluster cluster = new TaskTestCluster(9, 3, 2, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 8, LONG_MILLIS));
    cluster.run(5_000);
    cluster.cut("vm-1>entry-2");
    cluster.cut("entry-2>vm-1");

    assertAllDone(cluster, "payout", 8, 2 * LONG_MILLIS);
    assertEquals(8, cluster.runs().size());
  }

  /**
   * The log is unavailable for less than a lease. Running tasks must go on, and waiting ones start
   * afterwards.
   */
  @Test
  void runningTasksOutliveAnOutageShorterThanTheirLease() {
    TaskTestCluster cluster = new TaskTestCluster(10, 2, 2, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 8, 20_000));
    cluster.run(5_000);
    cluster.log().down(true);
    cluster.run(6_000);
    cluster.log().down(false);

    assertAllDone(cluster, "payout", 8, LONG_MILLIS);
    assertEquals(8, cluster.runs().size());
  }

  /**
   * The log is unavailable for longer than the leases. Tasks stop, and resume from their
   * checkpoints once the log is back. No task may run in two places, get lost or start from the
   * beginning.
   */
  @Test
  void tasksResumeFromCheckpointsAfterAnOutageLongerThanTheirLease() {
    TaskTestCluster cluster = new TaskTestCluster(11, 2, 2, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 8, 20_000));
    cluster.run(12_000);
    cluster.log().down(true);
    cluster.run(30_000);
    cluster.log().down(false);

    assertAllDone(cluster, "payout", 8, 2 * LONG_MILLIS);
    List<WorkerRun> second = cluster.runs().stream().filter(run -> run.attempt() == 2).toList();
    assertEquals(8, second.size());
    assertTrue(second.stream().noneMatch(run -> run.checkpoint().isEmpty()));
  }

  /**
   * Each record is written to the log twice. Duplicate claims, releases and ends have no effect.
   */
  @Test
  void duplicateRecordsAreAppliedOnce() {
    TaskTestCluster cluster = new TaskTestCluster(12, 3, 3, CAPACITY_FOR_FOUR);
    cluster.log().duplicateNext(1_000);
    cluster.submit(TaskTestCluster.job("payout", 30, 2_000));

    assertAllDone(cluster, "payout", 30, LONG_MILLIS);
    assertEquals(30, cluster.runs().size());
  }

  /** Appends take effect, but their responses are lost. The claims among them must be started. */
  @Test
  void claimsWithALostResponseAreStarted() {
    TaskTestCluster cluster = new TaskTestCluster(13, 2, 3, CAPACITY_FOR_FOUR);
    cluster.run(3_000);
    cluster.log().loseNextResponses(200);
    cluster.submit(TaskTestCluster.job("payout", 12, 2_000));

    assertAllDone(cluster, "payout", 12, LONG_MILLIS);
    assertEquals(12, cluster.runs().size());
  }

  /**
   * A VM is replaced by a smaller one under the same name, while the old one runs on, unreachable
   * but with valid leases. Tasks of the old VM wait until those have expired, and the new VM gets
   * no more tasks than fit.
   */
  @Test
  void aSmallerVmUnderTheSameNameGetsItsOwnRegistration() {
    TaskTestCluster cluster = new TaskTestCluster(14, 2, 1, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 4, 20_000));
    cluster.run(5_000);
    cluster.vm(1).replace(new Sizes(2_000, 100_000, 0));

    assertAllDone(cluster, "payout", 4, 4 * LONG_MILLIS);
    assertTrue(cluster.runs().size() > 4);
  }

  /** The worker's responses to starts and stops are lost. No task runs twice, and all tasks end. */
  @Test
  void lostWorkerResponsesAreResolvedByQueryingTheWorker() {
    TaskTestCluster cluster = new TaskTestCluster(15, 2, 2, CAPACITY_FOR_FOUR);
    cluster.run(3_000);
    cluster.submit(TaskTestCluster.job("payout", 8, 3_000));
    cluster.vm(1).worker().setFaults(WorkerFaults.none().withLoseAnswers(12));

    assertAllDone(cluster, "payout", 8, 2 * LONG_MILLIS);
  }

  /** Cancelling a job ends its running and its waiting tasks as cancelled. */
  @Test
  void cancellationsReachRunningTasks() {
    TaskTestCluster cluster = new TaskTestCluster(16, 2, 2, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 30, LONG_MILLIS));
    cluster.run(5_000);
    cluster.cancel("payout");

    assertTrue(cluster.runUntilEnded(10_000));
    assertEquals(30, cluster.jobState("payout").cancelled());
    assertTrue(cluster.runs().stream().noneMatch(run -> run.endMillis() == 0));
    assertNoViolations(cluster);
  }

  /** Entries decide on views that lag by up to 0.8 s. Claims must never exceed a VM's capacity. */
  @Test
  void entriesWithStaleViewsNeverOverbook() {
    TaskTestCluster cluster = new TaskTestCluster(17, 3, 3, CAPACITY_FOR_FOUR);
    cluster.entry(1).setLag(500);
    cluster.entry(2).setLag(800);
    cluster.submit(TaskTestCluster.job("payout", 40, 1_000));

    assertAllDone(cluster, "payout", 40, 2 * LONG_MILLIS);
  }

  /**
   * A task ends before a lagging entry has read its claim. That entry must not acknowledge the
   * report; otherwise the side process drops it, and the task stays claimed forever.
   */
  @Test
  void aLaggingEntryAcknowledgesOnlyWhatItHasRead() {
    TaskTestCluster cluster = new TaskTestCluster(19, 3, 3, CAPACITY_FOR_FOUR);
    cluster.entry(1).setLag(4_000);
    cluster.entry(2).setLag(4_000);
    cluster.submit(TaskTestCluster.job("payout", 30, 200));

    assertAllDone(cluster, "payout", 30, 2 * LONG_MILLIS);
  }

  /**
   * One of two entries is alive but reaches no VM. The other entry must take over the tasks that
   * the hash assigns to the first one.
   */
  @Test
  void anIsolatedEntryDoesNotDelayTasks() {
    TaskTestCluster cluster = new TaskTestCluster(20, 2, 3, CAPACITY_FOR_FOUR);
    cluster.run(2_000);
    for (int vm = 1; vm <= 3; vm++) {
      cluster.cut("entry-2>vm-" + vm);
      cluster.cut("vm-" + vm + ">entry-2");
    }
    cluster.run(5_000);
    cluster.submit(TaskTestCluster.job("payout", 12, 1_000));

    assertAllDone(cluster, "payout", 12, LONG_MILLIS);
  }

  /** A task that fails on every VM ends as failed with the reason, and is not retried forever. */
  @Test
  void aTaskThatFailsOnEveryVmEndsAsFailed() {
    TaskTestCluster cluster = new TaskTestCluster(18, 2, 4, CAPACITY_FOR_FOUR);
    cluster.vm(1).worker().setFaults(WorkerFaults.none().withFailEverything(true));
    cluster.vm(2).worker().setFaults(WorkerFaults.none().withFailEverything(true));
    cluster.vm(3).worker().setFaults(WorkerFaults.none().withFailEverything(true));
    cluster.vm(4).worker().setFaults(WorkerFaults.none().withFailEverything(true));
    cluster.submit(TaskTestCluster.job("payout", 1, 1_000));

    assertTrue(cluster.runUntilEnded(LONG_MILLIS));
    TaskState task = cluster.tasks("payout").get(0);
    assertEquals(TaskState.Phase.FAILED, task.phase());
    assertEquals(3, task.failedVms().size());
    assertFalse(task.detail().isEmpty());
    assertNoViolations(cluster);
  }
}
