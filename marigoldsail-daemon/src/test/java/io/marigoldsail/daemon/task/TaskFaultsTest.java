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

/** Each failure of the list in issue 5, judged by the workers' own records. */
class TaskFaultsTest {
  private static final Sizes CAPACITY_FOR_FOUR = new Sizes(4_000, 100_000, 0);
  private static final long LONG_MILLIS = 60_000;

  private static void assertNoViolations(TaskTestCluster world) {
    assertEquals(List.of(), world.violations());
    assertEquals(0, world.askedOverCapacity());
  }

  private static void assertAllDone(TaskTestCluster world, String job, int count, long mostMillis) {
    assertTrue(world.runUntilEnded(mostMillis), () -> "not ended: " + world.tasks(job));
    assertEquals(count, world.jobState(job).done());
    assertNoViolations(world);
  }

  /**
   * An operator submits a job and the entry that claimed its tasks dies before it could tell the
   * VMs to start them. The tasks must not stay claimed for ever: another entry starts them.
   */
  @Test
  void anotherEntryStartsTasksClaimedByADeadEntry() {
    TaskTestCluster world = new TaskTestCluster(2, 1, 2, CAPACITY_FOR_FOUR);
    world.run(3_000);
    world.cut("entry-1>vm-1");
    world.cut("entry-1>vm-2");
    world.submit(TaskTestCluster.job("payout", 6, 2_000));
    world.run(500);
    world.killEntry("entry-1");
    assertEquals(List.of(), world.runs());
    assertEquals(6, world.jobState("payout").claimed());

    world.startEntry("entry-2");

    assertAllDone(world, "payout", 6, 30_000);
  }

  /**
   * Every entry dies at once while tasks run, and new ones start with empty hands. Nothing may be
   * forgotten and nothing started twice: all that matters stands in the log and in the workers.
   */
  @Test
  void tasksSurviveTheDeathOfEveryEntry() {
    TaskTestCluster world = new TaskTestCluster(3, 3, 3, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 30, 3_000));
    world.run(4_000);
    world.killEntry("entry-1");
    world.killEntry("entry-2");
    world.killEntry("entry-3");
    world.run(2_000);
    world.startEntry("entry-4");

    assertAllDone(world, "payout", 30, 60_000);
    assertEquals(30, world.runs().size());
  }

  /**
   * The side process of a VM is killed and started again, as in an upgrade. Its tasks go on at the
   * worker; the new process must adopt them, not run them anew, not let their leases lapse.
   */
  @Test
  void aNewSideProcessAdoptsRunningTasks() {
    TaskTestCluster world = new TaskTestCluster(4, 2, 1, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 4, LONG_MILLIS));
    world.run(5_000);
    world.vm(1).killSide();
    world.run(1_000);
    world.vm(1).startSide();

    assertAllDone(world, "payout", 4, 2 * LONG_MILLIS);
    assertEquals(4, world.runs().size());
  }

  /**
   * The side process of a VM dies and nobody starts it again. Its worker stops the tasks when their
   * leases pass; only after that may they run elsewhere.
   */
  @Test
  void tasksMoveAfterTheirLeasesWhenTheSideProcessDies() {
    TaskTestCluster world = new TaskTestCluster(5, 2, 2, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 6, LONG_MILLIS));
    world.run(5_000);
    world.vm(1).killSide();

    assertAllDone(world, "payout", 6, 4 * LONG_MILLIS);
    assertTrue(world.runs().size() > 6);
  }

  /**
   * A side process is frozen past its leases and woken: its tasks run elsewhere by then. It must
   * neither renew nor start anything on what it knew before, though messages from before it froze
   * still wait for it.
   */
  @Test
  void aSideProcessResumedAfterItsLeasesRunsNothingTwice() {
    TaskTestCluster world = new TaskTestCluster(6, 2, 2, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 6, LONG_MILLIS));
    world.run(5_000);
    world.vm(1).pauseSide(true);
    world.run(40_000);
    world.vm(1).pauseSide(false);

    assertAllDone(world, "payout", 6, 4 * LONG_MILLIS);
  }

  /**
   * A start that was stuck in a connection arrives after its VM was revoked, cleared and let in
   * again. The task runs elsewhere by then; the old start names the old registration.
   */
  @Test
  void aStartFromBeforeARevocationIsIgnored() {
    TaskTestCluster world = new TaskTestCluster(7, 1, 2, CAPACITY_FOR_FOUR);
    world.run(3_000);
    world.vm(1).pauseSide(true);
    world.submit(TaskTestCluster.job("payout", 4, LONG_MILLIS));
    world.run(30_000);
    world.vm(1).pauseSide(false);

    assertAllDone(world, "payout", 4, 4 * LONG_MILLIS);
  }

  /**
   * A VM is cut off from every entry, both ways, while its side process and worker live on. Its
   * leases lapse, its tasks run elsewhere, and when it is back it takes part again.
   */
  @Test
  void anIsolatedVmStopsItsTasksBeforeOthersStartThem() {
    TaskTestCluster world = new TaskTestCluster(8, 3, 2, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 8, LONG_MILLIS));
    world.run(5_000);
    world.cut("vm-1");
    world.run(45_000);
    world.reconnect("vm-1");

    assertAllDone(world, "payout", 8, 6 * LONG_MILLIS);
    assertTrue(world.runs().stream().anyMatch(run -> run.state().name().equals("LAPSED")));
  }

  /**
   * One of three entries no longer hears a VM that the others hear. The VM must not be revoked for
   * it: its tasks run on, each once.
   */
  @Test
  void aVmUnreachableForOneEntryIsNotRevoked() {
    TaskTestCluster world = new TaskTestCluster(9, 3, 2, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 8, LONG_MILLIS));
    world.run(5_000);
    world.cut("vm-1>entry-2");
    world.cut("entry-2>vm-1");

    assertAllDone(world, "payout", 8, 2 * LONG_MILLIS);
    assertEquals(8, world.runs().size());
  }

  /**
   * The log is down for less than a lease: running work goes on as if nothing had happened, and
   * what waits starts afterwards.
   */
  @Test
  void runningTasksOutliveAnOutageShorterThanTheirLease() {
    TaskTestCluster world = new TaskTestCluster(10, 2, 2, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 8, 20_000));
    world.run(5_000);
    world.log().down(true);
    world.run(6_000);
    world.log().down(false);

    assertAllDone(world, "payout", 8, LONG_MILLIS);
    assertEquals(8, world.runs().size());
  }

  /**
   * The log is down for longer than the leases: tasks stop, and resume from their checkpoints once
   * it is back. None runs twice at once, none is lost, and work before the checkpoint is not
   * redone.
   */
  @Test
  void tasksResumeFromCheckpointsAfterAnOutageLongerThanTheirLease() {
    TaskTestCluster world = new TaskTestCluster(11, 2, 2, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 8, 20_000));
    world.run(12_000);
    world.log().down(true);
    world.run(30_000);
    world.log().down(false);

    assertAllDone(world, "payout", 8, 2 * LONG_MILLIS);
    List<WorkerRun> second = world.runs().stream().filter(run -> run.attempt() == 2).toList();
    assertEquals(8, second.size());
    assertTrue(second.stream().noneMatch(run -> run.checkpoint().isEmpty()));
  }

  /** Records stand in the log twice; doubled claims, releases and ends count once. */
  @Test
  void duplicateRecordsAreAppliedOnce() {
    TaskTestCluster world = new TaskTestCluster(12, 3, 3, CAPACITY_FOR_FOUR);
    world.log().duplicateNext(1_000);
    world.submit(TaskTestCluster.job("payout", 30, 2_000));

    assertAllDone(world, "payout", 30, LONG_MILLIS);
    assertEquals(30, world.runs().size());
  }

  /** The answers to appends are lost after they took effect; claims made so are started anyway. */
  @Test
  void claimsWithALostResponseAreStarted() {
    TaskTestCluster world = new TaskTestCluster(13, 2, 3, CAPACITY_FOR_FOUR);
    world.run(3_000);
    world.log().loseNextResponses(200);
    world.submit(TaskTestCluster.job("payout", 12, 2_000));

    assertAllDone(world, "payout", 12, LONG_MILLIS);
    assertEquals(12, world.runs().size());
  }

  /**
   * A VM is replaced by a smaller one under the same name and address, while the old one lives on
   * unseen with its leases. The old one's tasks wait until those are over; the new one gets no more
   * than it holds.
   */
  @Test
  void aSmallerVmUnderTheSameNameGetsItsOwnRegistration() {
    TaskTestCluster world = new TaskTestCluster(14, 2, 1, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 4, 20_000));
    world.run(5_000);
    world.vm(1).replace(new Sizes(2_000, 100_000, 0));

    assertAllDone(world, "payout", 4, 4 * LONG_MILLIS);
    assertTrue(world.runs().size() > 4);
  }

  /** The worker's answers to starts and stops are lost; nothing runs twice and all tasks end. */
  @Test
  void lostWorkerResponsesAreResolvedByQueryingTheWorker() {
    TaskTestCluster world = new TaskTestCluster(15, 2, 2, CAPACITY_FOR_FOUR);
    world.run(3_000);
    world.submit(TaskTestCluster.job("payout", 8, 3_000));
    world.vm(1).worker().setFaults(WorkerFaults.none().withLoseAnswers(12));

    assertAllDone(world, "payout", 8, 2 * LONG_MILLIS);
  }

  /** A wave of cancellations reaches running tasks and those that wait; all end as cancelled. */
  @Test
  void cancellationsReachRunningTasks() {
    TaskTestCluster world = new TaskTestCluster(16, 2, 2, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 30, LONG_MILLIS));
    world.run(5_000);
    world.cancel("payout");

    assertTrue(world.runUntilEnded(10_000));
    assertEquals(30, world.jobState("payout").cancelled());
    assertTrue(world.runs().stream().noneMatch(run -> run.endMillis() == 0));
    assertNoViolations(world);
  }

  /** Three entries decide on views that lag by half a second; bookings never exceed a VM. */
  @Test
  void entriesWithStaleViewsNeverOverbook() {
    TaskTestCluster world = new TaskTestCluster(17, 3, 3, CAPACITY_FOR_FOUR);
    world.entry(1).setLag(500);
    world.entry(2).setLag(800);
    world.submit(TaskTestCluster.job("payout", 40, 1_000));

    assertAllDone(world, "payout", 40, 2 * LONG_MILLIS);
  }

  /**
   * A task ends before an entry that lags has read its claim. That entry must not acknowledge the
   * report: the side process would forget the end, and the task would stay claimed for ever.
   */
  @Test
  void aLaggingEntryAcknowledgesOnlyWhatItHasRead() {
    TaskTestCluster world = new TaskTestCluster(19, 3, 3, CAPACITY_FOR_FOUR);
    world.entry(1).setLag(4_000);
    world.entry(2).setLag(4_000);
    world.submit(TaskTestCluster.job("payout", 30, 200));

    assertAllDone(world, "payout", 30, 2 * LONG_MILLIS);
  }

  /**
   * One of two entries lives and is cut off from every VM. The tasks that are its to claim are
   * claimed by the other one after a while.
   */
  @Test
  void anIsolatedEntryDoesNotDelayTasks() {
    TaskTestCluster world = new TaskTestCluster(20, 2, 3, CAPACITY_FOR_FOUR);
    world.run(2_000);
    for (int vm = 1; vm <= 3; vm++) {
      world.cut("entry-2>vm-" + vm);
      world.cut("vm-" + vm + ">entry-2");
    }
    world.run(5_000);
    world.submit(TaskTestCluster.job("payout", 12, 1_000));

    assertAllDone(world, "payout", 12, LONG_MILLIS);
  }

  /** A task that fails on every VM ends as failed with the reason; it does not go on for ever. */
  @Test
  void aTaskThatFailsOnEveryVmEndsAsFailed() {
    TaskTestCluster world = new TaskTestCluster(18, 2, 4, CAPACITY_FOR_FOUR);
    world.vm(1).worker().setFaults(WorkerFaults.none().withFailEverything(true));
    world.vm(2).worker().setFaults(WorkerFaults.none().withFailEverything(true));
    world.vm(3).worker().setFaults(WorkerFaults.none().withFailEverything(true));
    world.vm(4).worker().setFaults(WorkerFaults.none().withFailEverything(true));
    world.submit(TaskTestCluster.job("payout", 1, 1_000));

    assertTrue(world.runUntilEnded(LONG_MILLIS));
    TaskState task = world.tasks("payout").get(0);
    assertEquals(TaskState.Phase.FAILED, task.phase());
    assertEquals(3, task.failedVms().size());
    assertFalse(task.detail().isEmpty());
    assertNoViolations(world);
  }
}
