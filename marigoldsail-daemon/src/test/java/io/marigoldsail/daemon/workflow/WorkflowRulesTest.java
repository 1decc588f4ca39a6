package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.workflow.WorkflowWorld.RunningEntry;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkflowIds;
import io.marigoldsail.workflow.WorkflowSpec;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The guarantees to callers and workers, each under a fault that could break it. */
class WorkflowRulesTest {
  private static final long FOR_GOOD_MILLIS = 60_000;
  private static final StepSpec.Nature LASTING =
      new StepSpec.Nature(false, false, false, true, false, "service", 100, 1);
  private static final StepSpec.Nature FILLS =
      new StepSpec.Nature(false, true, false, false, true, "batch", 0, 0);

  private final WorkflowWorld world = new WorkflowWorld();

  @AfterEach
  void stop() {
    world.close();
  }

  private void submit(WorkflowSpec workflow) {
    assertInstanceOf(WorkflowStore.Appended.class, world.entry(0).entry().submit(workflow).join());
  }

  private void killOneOfTwo() {
    RunningEntry killed = world.entry(1);
    world.kill(killed);
    world.store().drop(killed.memberPrefix());
  }

  private FakeWorkerGateway worker(String vm) {
    return world.side(vm).worker();
  }

  private int starts(long id, int index) {
    return world.history().starts(new TaskKey(id, 0, 0, index));
  }

  /**
   * A task always fails, and its owner is killed after the first failures. The next owner must
   * continue the count of failures: the workflow fails after three runs, not after three more.
   */
  @Test
  void aTaskThatAlwaysFailsStartsAsOftenAsAllowedThoughItsOwnerDies() throws IOException {
    world.start(2, 3, 300);
    for (int vm = 0; vm < 3; vm++) {
      worker("vm-" + vm).endAllAs(RunOutcome.FAILED);
    }
    long[] ids = LongStream.rangeClosed(101, 106).toArray();
    for (long id : ids) {
      submit(WorkflowWorld.workflow(id, 1));
    }
    world.await(
        "all tasks are in their second run", () -> LongStream.of(ids).allMatch(id -> starts(id, 0) >= 2));
    killOneOfTwo();
    for (long id : ids) {
      world.await("the workflow has failed", () -> world.status(0, id) == QueryResult.FAILED);
      assertEquals(3, starts(id, 0), "runs of workflow " + id);
    }
  }

  /**
   * An entry is killed while first steps run. The next owner knows only from the store which tasks
   * are done, and must not start a task of a later step before all tasks of the previous step are
   * done.
   */
  @Test
  void laterStepsWaitForAllTasksBeforeThoughTheOwnerDies() throws IOException {
    world.start(2, 2, 400);
    long[] ids = LongStream.rangeClosed(111, 116).toArray();
    for (long id : ids) {
      submit(WorkflowWorld.workflow(id, 2, 2, 1));
    }
    world.await("half of the tasks have started", () -> world.history().totalStarts() >= 15);
    killOneOfTwo();
    for (long id : ids) {
      world.await("the workflow is done", () -> world.status(0, id) == QueryResult.DONE);
      for (int index = 0; index < 2; index++) {
        assertEquals(2, world.history().doneBefore(new TaskKey(id, 0, 1, index)));
      }
      assertEquals(2, world.history().doneBefore(new TaskKey(id, 0, 2, 0)));
    }
    assertEquals(List.of(), world.history().broken());
  }

  /**
   * All tasks end while the store refuses appends. The workflow must not be reported as done yet: if
   * the entry died now, the next owner would run the last task again.
   */
  @Test
  void nobodyHearsOfAnEndThatTheStoreDoesNotHave() throws IOException {
    world.start(1, 1, 500);
    submit(WorkflowWorld.workflow(121, 2));
    world.await("both tasks are running", () -> world.history().totalStarts() == 2);
    world.store().failAppends(FakeWorkflowStore.AppendFault.REFUSED, Integer.MAX_VALUE);
    FakeWorkerGateway worker = worker("vm-0");
    world.await("both runs have ended", () -> worker.atWork().isEmpty() && worker.endsNotNoted() == 2);
    world.await(
        "the entry has retried the append several times", () -> world.store().faultsSeen() >= 5);
    assertNotEquals(QueryResult.DONE, world.status(0, 121));
    assertEquals(2, worker.endsNotNoted(), "an end was acknowledged that is not durable");
    world.store().failAppends(FakeWorkflowStore.AppendFault.NONE, 0);
    world.await("the workflow is done", () -> world.status(0, 121) == QueryResult.DONE);
    world.await("all ends are acknowledged", () -> worker.endsNotNoted() == 0);
  }

  /**
   * The store refuses appends when the owner places tasks. No start may be sent yet: if the owner
   * died now, the next one would not know of the order and run the tasks elsewhere as well.
   */
  @Test
  void noWorkerIsAskedBeforeTheStoreHasTheAttempt() throws IOException {
    world.start(1, 1, 100);
    world.store().failAppends(FakeWorkflowStore.AppendFault.REFUSED, Integer.MAX_VALUE);
    submit(WorkflowWorld.workflow(125, 2));
    world.await(
        "the entry has retried the append several times", () -> world.store().faultsSeen() >= 5);
    assertEquals(List.of(), worker("vm-0").askedToStart());
    world.store().failAppends(FakeWorkflowStore.AppendFault.NONE, 0);
    world.await("the workflow is done", () -> world.status(0, 125) == QueryResult.DONE);
  }

  /**
   * Workflows are submitted while there is no worker. Every entry must count all waiting workflows,
   * including those owned by the other entry, and none once they have started.
   */
  @Test
  void everyEntryCountsAllThatWaits() throws IOException {
    world.start(2, 0, 0);
    for (long id = 131; id <= 142; id++) {
      submit(WorkflowWorld.workflow(id, 1));
    }
    for (int entry = 0; entry < 2; entry++) {
      WorkflowEntry asked = world.entry(entry).entry();
      world.await("all waiting workflows are counted", () -> asked.waiting("queue").join() == 12);
      assertEquals(0, asked.waiting("another queue").join());
    }
    world.addSide("vm-0", FOR_GOOD_MILLIS);
    world.addSide("vm-1", FOR_GOOD_MILLIS);
    for (int entry = 0; entry < 2; entry++) {
      WorkflowEntry asked = world.entry(entry).entry();
      world.await("no workflow waits", () -> asked.waiting("queue").join() == 0);
    }
  }

  /**
   * A worker does not answer a start, the caller cancels, and the worker executes the start seconds
   * later. It must have received the stop by then: no task of a cancelled workflow starts.
   */
  @Test
  void anOrderCarriedOutAfterTheCancelStartsNothing() throws IOException {
    world.start(1, 1, FOR_GOOD_MILLIS);
    FakeWorkerGateway worker = worker("vm-0");
    worker.answerLate(Integer.MAX_VALUE, 1_500);
    submit(WorkflowWorld.workflow(151, 2));
    world.await("both starts were sent", () -> worker.askedToStart().size() >= 2);
    assertEquals(QueryResult.CANCELLED, world.entry(0).entry().query(151, "queue", true).join());
    world.await("all delayed starts were executed", () -> worker.isNothingLate());
    assertEquals(0, world.history().totalStarts());
  }

  /**
   * A worker drains. Its long-running tasks have to run elsewhere before it stops, and no task may
   * be started on it however many wait.
   */
  @Test
  void aWorkerThatLeavesIsGivenNothingAndItsServicesMove() throws IOException {
    world.start(2, 1, FOR_GOOD_MILLIS);
    submit(WorkflowWorld.workflow(161, LASTING, 3));
    FakeWorkerGateway leaving = worker("vm-0");
    world.await("all tasks are running", () -> leaving.atWork().size() == 3);
    leaving.leave();
    world.addSide("vm-1", FOR_GOOD_MILLIS);
    world.await("all tasks are running on the other VM", () -> worker("vm-1").atWork().size() == 3);
    assertEquals(List.of(), leaving.atWork());
    // More tasks than the other VM has capacity for.
    submit(WorkflowWorld.workflow(162, 8));
    world.await("the other VM is full", () -> worker("vm-1").atWork().size() == 8);
    assertEquals(3, leaving.askedToStart().size());
    assertEquals(List.of(), world.history().broken());
  }

  /**
   * A faulty worker does not answer a start and then drains. The start must not be repeated: the
   * worker might accept it and end the task shortly afterwards. The task has to run elsewhere.
   */
  @Test
  void aWorkerThatLeavesIsNotAskedAgain() throws IOException {
    world.start(1, 1, 200);
    FakeWorkerGateway leaving = worker("vm-0");
    leaving.dropStarts(Integer.MAX_VALUE);
    submit(WorkflowWorld.workflow(171, 1));
    world.await("the start was sent", () -> !leaving.askedToStart().isEmpty());
    leaving.leave();
    world.heartbeat("vm-0");
    List<RunKey> startsBefore = leaving.askedToStart();
    world.addSide("vm-1", 200);
    world.await("the workflow is done", () -> world.status(0, 171) == QueryResult.DONE);
    assertEquals(startsBefore, leaving.askedToStart());
  }

  /**
   * A best-effort task interferes with a service on its VM, and a VM without services is free. The
   * best-effort task is throttled and moved there; the service, of which only one task may be
   * unavailable, is neither stopped nor moved.
   */
  @Test
  void whatDisturbsMovesAndTheServiceStays() throws IOException {
    world.start(1, 1, FOR_GOOD_MILLIS);
    submit(WorkflowWorld.workflow(181, LASTING, 3));
    FakeWorkerGateway crowded = worker("vm-0");
    world.await("the service is running", () -> crowded.atWork().size() == 3);
    submit(WorkflowWorld.workflow(182, FILLS, 1));
    world.await("the best-effort task runs on the same VM", () -> crowded.atWork().size() == 4);
    crowded.measure(400);
    world.addSide("vm-1", FOR_GOOD_MILLIS);
    world.await("the best-effort task has moved", () -> worker("vm-1").atWork().size() == 1);
    assertEquals(182, worker("vm-1").atWork().get(0).task().workflow());
    assertEquals(Collections.nCopies(3, 1), startsOf(181, 3));
    assertEquals(3, crowded.atWork().size());
  }

  private List<Integer> startsOf(long id, int tasks) {
    return LongStream.range(0, tasks).mapToObj(index -> starts(id, (int) index)).toList();
  }

  /**
   * A configuration assigns a queue to another service, and the previous version arrives after it.
   * No task of the queue may start on workers of the former service until a newer version assigns
   * the queue to it again.
   */
  @Test
  void aQueueIsServedOnlyWhereTheNewestVersionSendsIt() throws IOException {
    world.start(1, 1, FOR_GOOD_MILLIS);
    FakeWorkerGateway worker = worker("vm-0");
    WorkflowEntry entry = world.entry(0).entry();
    submit(WorkflowWorld.workflow(211, 1));
    world.await("the task is running", () -> worker.atWork().size() == 1);
    entry.configure(WorkflowWorld.configuration(3, "another"));
    entry.configure(WorkflowWorld.configuration(2, "service"));
    submit(WorkflowWorld.workflow(212, 1));
    int before = worker.listings();
    world.await("the worker was listed several times", () -> worker.listings() >= before + 3);
    assertEquals(1, worker.askedToStart().size());
    entry.configure(WorkflowWorld.configuration(4, "service"));
    world.await("both tasks are running", () -> worker.atWork().size() == 2);
  }

  /**
   * All entries die at once while workflows wait and run. New entries, which know only the store,
   * must complete every accepted workflow.
   */
  @Test
  void newEntriesGoOnWhenAllHaveDied() throws IOException {
    world.start(2, 2, 700);
    long[] ids = LongStream.rangeClosed(191, 202).toArray();
    for (long id : ids) {
      submit(WorkflowWorld.workflow(id, 2, 1));
    }
    // More starts than there is capacity for at once, so some tasks are done.
    world.await("some tasks are done", () -> world.history().totalStarts() >= 20);
    for (int i = 0; i < 2; i++) {
      RunningEntry killed = world.entry(0);
      world.kill(killed);
      world.store().drop(killed.memberPrefix());
    }
    world.addEntry();
    world.addEntry();
    for (long id : ids) {
      world.await("workflow " + id + " is done", () -> world.status(0, id) == QueryResult.DONE);
    }
    assertTrue(world.history().totalStarts() >= ids.length * 3);
    assertEquals(List.of(), world.history().broken());
  }

  /**
   * An entry cannot read the store any more. It must answer a query on a workflow that another entry
   * may have accepted meanwhile with "cannot tell": "unknown" means that the workflow is lost.
   */
  @Test
  void anEntryThatReadsNothingCallsNoWorkflowUnknown() throws IOException {
    world.start(1, 0, 0);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, world.status(0, 221));
    world.entry(0).store().refuse(true);
    world.await("the entry answers that it cannot tell", () -> world.status(0, 221) == QueryResult.CANNOT_TELL);
  }

  /**
   * An ended workflow is evicted, but the store does not drop its submission. Its progress must be
   * kept as well: a new owner would take a submission without progress as new and run it again.
   */
  @Test
  void whatIsHalfForgottenDoesNotRunAgain() throws IOException {
    world.addEntry(0);
    world.addSide("vm-0", 50);
    world.awaitReady();
    world.store().refuseDrops();
    submit(WorkflowWorld.workflow(231, 2));
    world.await("the drop was refused", () -> world.store().dropsRefused() >= 1);
    RunningEntry killed = world.entry(0);
    world.kill(killed);
    world.store().drop(killed.memberPrefix());
    world.addEntry();
    world.await("the new entry reports it as done", () -> world.status(0, 231) == QueryResult.DONE);
    assertEquals(2, world.history().totalStarts());
  }

  /**
   * An entry that lost its partitions while it was suspended resumes, finds unknown runs on a VM and
   * sends stops. The side process must ignore them: it has received a higher epoch from the
   * successor.
   */
  @Test
  void aFormerOwnerCannotStopWhatItsSuccessorRuns() throws IOException {
    world.start(1, 1, FOR_GOOD_MILLIS);
    submit(WorkflowWorld.workflow(241, 1));
    world.await("the task is running", () -> worker("vm-0").atWork().size() == 1);
    try (FormerOwner former = new FormerOwner()) {
      former.start();
      world.store().join(former.member(), Long.MAX_VALUE);
      world.await("the side process has connected to the former owner", () -> former.report().isPresent());
      RunKey run = worker("vm-0").atWork().get(0);
      former.stop(run, WorkflowIds.partition(run.task().workflow(), WorkflowWorld.PARTITIONS));
      world.await(
          "the side process has handled the stop",
          () -> former.report().orElseThrow().getOrdersSeen() == 1);
      assertEquals(List.of(run), worker("vm-0").atWork());
    }
  }

  /** An end that a former owner could acknowledge for its successor would make the task run again. */
  @Test
  void aFormerOwnerCannotNoteTheEndOfWhatItsSuccessorRan() throws IOException {
    world.start(1, 1, 1_000);
    submit(WorkflowWorld.workflow(242, 1));
    world.await("the task is running", () -> worker("vm-0").atWork().size() == 1);
    RunKey run = worker("vm-0").atWork().get(0);
    world.store().failAppends(FakeWorkflowStore.AppendFault.REFUSED, Integer.MAX_VALUE);
    world.await("the run has ended", () -> worker("vm-0").endsNotNoted() == 1);
    try (FormerOwner former = new FormerOwner()) {
      former.start();
      world.store().join(former.member(), Long.MAX_VALUE);
      world.await("the side process has connected to the former owner", () -> former.report().isPresent());
      former.note(run, WorkflowIds.partition(run.task().workflow(), WorkflowWorld.PARTITIONS));
      world.await(
          "the side process has handled the acknowledgement",
          () -> former.report().orElseThrow().getOrdersSeen() == 1);
      world.store().drop(former.member());
    }
    replaceOnlyEntry();
    world.await("the new entry reports it as done", () -> world.status(0, 242) == QueryResult.DONE);
    assertEquals(1, world.history().totalStarts());
    assertEquals(List.of(), world.history().broken());
  }

  /** A cancel that its owner cannot make durable must be answered as well. */
  @Test
  void aCancelThatCannotBecomeDurableIsAnsweredThatNobodyCanTell() throws IOException {
    world.start(1, 1, FOR_GOOD_MILLIS);
    submit(WorkflowWorld.workflow(243, 1));
    world.await("the task is running", () -> worker("vm-0").atWork().size() == 1);
    world.entry(0).store().refuse(true);
    CompletableFuture<QueryResult> cancel = world.entry(0).entry().query(243, "queue", true);
    world.await("the cancel is answered", cancel::isDone);
    assertEquals(QueryResult.CANNOT_TELL, cancel.join());
    world.entry(0).store().refuse(false);
    world.await("the workflow is cancelled", () -> world.status(0, 243) == QueryResult.CANCELLED);
  }

  private void replaceOnlyEntry() throws IOException {
    RunningEntry killed = world.entry(0);
    world.kill(killed);
    world.store().drop(killed.memberPrefix());
    world.store().failAppends(FakeWorkflowStore.AppendFault.NONE, 0);
    world.addEntry();
  }
}
