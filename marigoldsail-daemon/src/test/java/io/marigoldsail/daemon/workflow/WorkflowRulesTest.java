package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.workflow.WorkflowTestCluster.RunningEntry;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
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
  private static final long NEVER_ENDS_MILLIS = 60_000;
  private static final StepSpec.TaskTraits LONG_RUNNING =
      new StepSpec.TaskTraits(false, false, false, true, false, "service", 100, 1);
  private static final StepSpec.TaskTraits BEST_EFFORT =
      new StepSpec.TaskTraits(false, true, false, false, true, "batch", 0, 0);

  private final WorkflowTestCluster cluster = new WorkflowTestCluster();

  @AfterEach
  void stop() {
    cluster.close();
  }

  private void submit(WorkflowSpec workflow) {
    assertInstanceOf(
        WorkflowStore.Appended.class, cluster.entry(0).entry().submit(workflow).join());
  }

  private void killSecondEntry() {
    RunningEntry killed = cluster.entry(1);
    cluster.kill(killed);
    cluster.store().drop(killed.memberPrefix());
  }

  private FakeWorkerGateway worker(String vm) {
    return cluster.side(vm).worker();
  }

  private int starts(long id, int index) {
    return cluster.history().starts(TestIds.task(id, 0, 0, index));
  }

  /**
   * A task always fails, and its owner is killed after the first failures. The next owner must
   * continue the count of failures: the workflow fails after three runs, not after three more.
   */
  @Test
  void failureLimitHoldsAcrossATakeover() throws IOException {
    cluster.start(2, 3, 300);
    for (int vm = 0; vm < 3; vm++) {
      worker("vm-" + vm).outcomeOfRuns(RunOutcome.FAILED);
    }
    long[] ids = LongStream.rangeClosed(101, 106).toArray();
    for (long id : ids) {
      submit(WorkflowTestCluster.workflow(id, 1));
    }
    cluster.await(
        "all tasks are in their second run",
        () -> LongStream.of(ids).allMatch(id -> starts(id, 0) >= 2));
    killSecondEntry();
    for (long id : ids) {
      cluster.await("the workflow has failed", () -> cluster.status(0, id) == QueryResult.FAILED);
      assertEquals(3, starts(id, 0), "runs of workflow " + id);
    }
  }

  /**
   * An entry is killed while first steps run. The next owner knows only from the store which tasks
   * are done, and must not start a task of a later step before all tasks of the previous step are
   * done.
   */
  @Test
  void stepDependenciesHoldAcrossATakeover() throws IOException {
    cluster.start(2, 2, 400);
    long[] ids = LongStream.rangeClosed(111, 116).toArray();
    for (long id : ids) {
      submit(WorkflowTestCluster.workflow(id, 2, 2, 1));
    }
    cluster.await("half of the tasks have started", () -> cluster.history().totalStarts() >= 15);
    killSecondEntry();
    for (long id : ids) {
      cluster.await("the workflow is done", () -> cluster.status(0, id) == QueryResult.DONE);
      for (int index = 0; index < 2; index++) {
        assertEquals(2, cluster.history().doneBefore(TestIds.task(id, 0, 1, index)));
      }
      assertEquals(2, cluster.history().doneBefore(TestIds.task(id, 0, 2, 0)));
    }
    assertEquals(List.of(), cluster.history().violations());
  }

  /**
   * All tasks end while the store refuses appends. The workflow must not be reported as done yet:
   * if the entry died now, the next owner would run the last task again.
   */
  @Test
  void endIsNotReportedBeforeItIsDurable() throws IOException {
    cluster.start(1, 1, 500);
    submit(WorkflowTestCluster.workflow(121, 2));
    cluster.await("both tasks are running", () -> cluster.history().totalStarts() == 2);
    cluster.store().failAppends(FakeWorkflowStore.AppendFault.REFUSED, Integer.MAX_VALUE);
    FakeWorkerGateway worker = worker("vm-0");
    cluster.await(
        "both runs have ended",
        () -> worker.activeRuns().isEmpty() && worker.unacknowledgedEnds() == 2);
    cluster.await(
        "the entry has retried the append several times", () -> cluster.store().faultsSeen() >= 5);
    assertNotEquals(QueryResult.DONE, cluster.status(0, 121));
    assertEquals(2, worker.unacknowledgedEnds(), "an end was acknowledged that is not durable");
    cluster.store().failAppends(FakeWorkflowStore.AppendFault.NONE, 0);
    cluster.await("the workflow is done", () -> cluster.status(0, 121) == QueryResult.DONE);
    cluster.await("all ends are acknowledged", () -> worker.unacknowledgedEnds() == 0);
  }

  /**
   * The store refuses appends when the owner places tasks. No start may be sent yet: if the owner
   * died now, the next one would not know of the order and run the tasks elsewhere as well.
   */
  @Test
  void noStartIsSentBeforeTheAttemptIsDurable() throws IOException {
    cluster.start(1, 1, 100);
    cluster.store().failAppends(FakeWorkflowStore.AppendFault.REFUSED, Integer.MAX_VALUE);
    submit(WorkflowTestCluster.workflow(125, 2));
    cluster.await(
        "the entry has retried the append several times", () -> cluster.store().faultsSeen() >= 5);
    assertEquals(List.of(), worker("vm-0").startRequests());
    cluster.store().failAppends(FakeWorkflowStore.AppendFault.NONE, 0);
    cluster.await("the workflow is done", () -> cluster.status(0, 125) == QueryResult.DONE);
  }

  /**
   * Workflows are submitted while there is no worker. Every entry must count all waiting workflows,
   * including those owned by the other entry, and none once they have started.
   */
  @Test
  void everyEntryCountsAllWaitingWorkflows() throws IOException {
    cluster.start(2, 0, 0);
    for (long id = 131; id <= 142; id++) {
      submit(WorkflowTestCluster.workflow(id, 1));
    }
    for (int entry = 0; entry < 2; entry++) {
      WorkflowEntry queried = cluster.entry(entry).entry();
      cluster.await(
          "all waiting workflows are counted",
          () -> queried.waitingWorkflows("queue").join() == 12);
      assertEquals(0, queried.waitingWorkflows("another queue").join());
    }
    cluster.addSide("vm-0", NEVER_ENDS_MILLIS);
    cluster.addSide("vm-1", NEVER_ENDS_MILLIS);
    for (int entry = 0; entry < 2; entry++) {
      WorkflowEntry queried = cluster.entry(entry).entry();
      cluster.await("no workflow waits", () -> queried.waitingWorkflows("queue").join() == 0);
    }
  }

  /**
   * A worker does not answer a start, the caller cancels, and the worker executes the start seconds
   * later. It must have received the stop by then: no task of a cancelled workflow starts.
   */
  @Test
  void delayedStartAfterCancelRunsNothing() throws IOException {
    cluster.start(1, 1, NEVER_ENDS_MILLIS);
    FakeWorkerGateway worker = worker("vm-0");
    worker.delayStarts(Integer.MAX_VALUE, 1_500);
    submit(WorkflowTestCluster.workflow(151, 2));
    cluster.await("both starts were sent", () -> worker.startRequests().size() >= 2);
    assertEquals(
        QueryResult.CANCELLED,
        cluster.entry(0).entry().query(TestIds.id(151), "queue", true).join());
    cluster.await("all delayed starts were executed", () -> worker.hasExecutedDelayedStarts());
    assertEquals(0, cluster.history().totalStarts());
  }

  /**
   * A worker drains. Its long-running tasks have to run elsewhere before it stops, and no task may
   * be started on it however many wait.
   */
  @Test
  void drainingWorkerGetsNoRunsAndItsServicesMove() throws IOException {
    cluster.start(2, 1, NEVER_ENDS_MILLIS);
    submit(WorkflowTestCluster.workflow(161, LONG_RUNNING, 3));
    FakeWorkerGateway draining = worker("vm-0");
    cluster.await("all tasks are running", () -> draining.activeRuns().size() == 3);
    draining.drain();
    cluster.addSide("vm-1", NEVER_ENDS_MILLIS);
    cluster.await(
        "all tasks are running on the other VM", () -> worker("vm-1").activeRuns().size() == 3);
    assertEquals(List.of(), draining.activeRuns());
    // More tasks than the other VM has capacity for.
    submit(WorkflowTestCluster.workflow(162, 8));
    cluster.await("the other VM is full", () -> worker("vm-1").activeRuns().size() == 8);
    assertEquals(3, draining.startRequests().size());
    assertEquals(List.of(), cluster.history().violations());
  }

  /**
   * A faulty worker does not answer a start and then drains. The start must not be repeated: the
   * worker might accept it and end the task shortly afterwards. The task has to run elsewhere.
   */
  @Test
  void drainingWorkerGetsNoRepeatedStart() throws IOException {
    cluster.start(1, 1, 200);
    FakeWorkerGateway draining = worker("vm-0");
    draining.dropStarts(Integer.MAX_VALUE);
    submit(WorkflowTestCluster.workflow(171, 1));
    cluster.await("the start was sent", () -> !draining.startRequests().isEmpty());
    draining.drain();
    cluster.heartbeatAndWait("vm-0");
    List<RunKey> startsBefore = draining.startRequests();
    cluster.addSide("vm-1", 200);
    cluster.await("the workflow is done", () -> cluster.status(0, 171) == QueryResult.DONE);
    assertEquals(startsBefore, draining.startRequests());
  }

  /**
   * A best-effort task interferes with a service on its VM, and a VM without services is free. The
   * best-effort task is throttled and moved there; the service, of which only one task may be
   * unavailable, is neither stopped nor moved.
   */
  @Test
  void interferingTaskMovesAndTheServiceStays() throws IOException {
    cluster.start(1, 1, NEVER_ENDS_MILLIS);
    submit(WorkflowTestCluster.workflow(181, LONG_RUNNING, 3));
    FakeWorkerGateway shared = worker("vm-0");
    cluster.await("the service is running", () -> shared.activeRuns().size() == 3);
    submit(WorkflowTestCluster.workflow(182, BEST_EFFORT, 1));
    cluster.await(
        "the best-effort task runs on the same VM", () -> shared.activeRuns().size() == 4);
    shared.measurement(400);
    cluster.addSide("vm-1", NEVER_ENDS_MILLIS);
    cluster.await("the best-effort task has moved", () -> worker("vm-1").activeRuns().size() == 1);
    assertEquals(TestIds.id(182), worker("vm-1").activeRuns().get(0).task().workflow());
    assertEquals(Collections.nCopies(3, 1), startsOf(181, 3));
    assertEquals(3, shared.activeRuns().size());
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
  void queueIsServedByTheServiceOfTheNewestVersionOnly() throws IOException {
    cluster.start(1, 1, NEVER_ENDS_MILLIS);
    FakeWorkerGateway worker = worker("vm-0");
    WorkflowEntry entry = cluster.entry(0).entry();
    submit(WorkflowTestCluster.workflow(211, 1));
    cluster.await("the task is running", () -> worker.activeRuns().size() == 1);
    entry.configure(WorkflowTestCluster.configuration(3, "another"));
    entry.configure(WorkflowTestCluster.configuration(2, "service"));
    submit(WorkflowTestCluster.workflow(212, 1));
    int before = worker.listings();
    cluster.await("the worker was listed several times", () -> worker.listings() >= before + 3);
    assertEquals(1, worker.startRequests().size());
    entry.configure(WorkflowTestCluster.configuration(4, "service"));
    cluster.await("both tasks are running", () -> worker.activeRuns().size() == 2);
  }

  /**
   * All entries die at once while workflows wait and run. New entries, which know only the store,
   * must complete every accepted workflow.
   */
  @Test
  void newEntriesTakeOverWhenAllHaveDied() throws IOException {
    cluster.start(2, 2, 700);
    long[] ids = LongStream.rangeClosed(191, 202).toArray();
    for (long id : ids) {
      submit(WorkflowTestCluster.workflow(id, 2, 1));
    }
    // More starts than there is capacity for at once, so some tasks are done.
    cluster.await("some tasks are done", () -> cluster.history().totalStarts() >= 20);
    for (int i = 0; i < 2; i++) {
      RunningEntry killed = cluster.entry(0);
      cluster.kill(killed);
      cluster.store().drop(killed.memberPrefix());
    }
    cluster.addEntry();
    cluster.addEntry();
    for (long id : ids) {
      cluster.await("workflow " + id + " is done", () -> cluster.status(0, id) == QueryResult.DONE);
    }
    assertTrue(cluster.history().totalStarts() >= ids.length * 3);
    assertEquals(List.of(), cluster.history().violations());
  }

  /**
   * An entry cannot read the store any more. It must answer a query on a workflow that another
   * entry may have accepted meanwhile with UNAVAILABLE: "unknown" means that the workflow is lost.
   */
  @Test
  void entryWithoutStoreDoesNotReportUnknownWorkflow() throws IOException {
    cluster.start(1, 0, 0);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, cluster.status(0, 221));
    cluster.entry(0).store().setRefusing(true);
    cluster.await(
        "the entry answers that the status is unavailable",
        () -> cluster.status(0, 221) == QueryResult.UNAVAILABLE);
  }

  /**
   * An ended workflow is evicted, but the store does not drop its submission. Its progress must be
   * kept as well: a new owner would take a submission without progress as new and run it again.
   */
  @Test
  void partlyEvictedWorkflowDoesNotRunAgain() throws IOException {
    cluster.addEntry(0);
    cluster.addSide("vm-0", 50);
    cluster.awaitReady();
    cluster.store().refuseDrops();
    submit(WorkflowTestCluster.workflow(231, 2));
    cluster.await("the drop was refused", () -> cluster.store().dropsRefused() >= 1);
    RunningEntry killed = cluster.entry(0);
    cluster.kill(killed);
    cluster.store().drop(killed.memberPrefix());
    cluster.addEntry();
    cluster.await(
        "the new entry reports it as done", () -> cluster.status(0, 231) == QueryResult.DONE);
    assertEquals(2, cluster.history().totalStarts());
  }

  /**
   * An entry that lost its partitions while it was suspended resumes, finds unknown runs on a VM
   * and sends stops. The side process must ignore them: it has received a higher epoch from the
   * successor.
   */
  @Test
  void formerOwnerCannotStopRunsOfItsSuccessor() throws IOException {
    cluster.start(1, 1, NEVER_ENDS_MILLIS);
    submit(WorkflowTestCluster.workflow(241, 1));
    cluster.await("the task is running", () -> worker("vm-0").activeRuns().size() == 1);
    try (FormerOwner former = new FormerOwner()) {
      former.start();
      cluster.store().join(former.member(), Long.MAX_VALUE);
      cluster.await(
          "the side process has connected to the former owner", () -> former.report().isPresent());
      RunKey run = worker("vm-0").activeRuns().get(0);
      former.stop(run, run.task().workflow().partition(WorkflowTestCluster.PARTITIONS));
      cluster.await(
          "the side process has handled the stop",
          () -> former.report().orElseThrow().getOrdersSeen() == 1);
      assertEquals(List.of(run), worker("vm-0").activeRuns());
    }
  }

  /**
   * An end that a former owner could acknowledge for its successor would make the task run again.
   */
  @Test
  void formerOwnerCannotAcknowledgeEndForItsSuccessor() throws IOException {
    assertFormerOwnerCannotRespondToEnd(242, FormerOwner::acknowledge);
  }

  /** The end would no longer be reported to the successor, which would run the task again. */
  @Test
  void formerOwnerCannotSupersedeEndForItsSuccessor() throws IOException {
    assertFormerOwnerCannotRespondToEnd(244, FormerOwner::supersede);
  }

  /** A response of a former owner to the end of a run. */
  private interface EndResponse {
    void send(FormerOwner owner, RunKey run, int partition);
  }

  private void assertFormerOwnerCannotRespondToEnd(long id, EndResponse response)
      throws IOException {
    cluster.start(1, 1, 1_000);
    submit(WorkflowTestCluster.workflow(id, 1));
    cluster.await("the task is running", () -> worker("vm-0").activeRuns().size() == 1);
    RunKey run = worker("vm-0").activeRuns().get(0);
    cluster.store().failAppends(FakeWorkflowStore.AppendFault.REFUSED, Integer.MAX_VALUE);
    cluster.await("the run has ended", () -> worker("vm-0").unacknowledgedEnds() == 1);
    try (FormerOwner former = new FormerOwner()) {
      former.start();
      cluster.store().join(former.member(), Long.MAX_VALUE);
      cluster.await(
          "the side process has connected to the former owner", () -> former.report().isPresent());
      response.send(former, run, run.task().workflow().partition(WorkflowTestCluster.PARTITIONS));
      cluster.await(
          "the side process has handled the response",
          () -> former.report().orElseThrow().getOrdersSeen() == 1);
      cluster.store().drop(former.member());
    }
    replaceOnlyEntry();
    cluster.await(
        "the new entry reports it as done", () -> cluster.status(0, id) == QueryResult.DONE);
    assertEquals(1, cluster.history().totalStarts());
    assertEquals(List.of(), cluster.history().violations());
  }

  /** A cancel that its owner cannot make durable must be answered as well. */
  @Test
  void cancelThatIsNotDurableIsAnsweredUnavailable() throws IOException {
    cluster.start(1, 1, NEVER_ENDS_MILLIS);
    submit(WorkflowTestCluster.workflow(243, 1));
    cluster.await("the task is running", () -> worker("vm-0").activeRuns().size() == 1);
    cluster.entry(0).store().setRefusing(true);
    CompletableFuture<QueryResult> cancel =
        cluster.entry(0).entry().query(TestIds.id(243), "queue", true);
    cluster.await("the cancel is answered", cancel::isDone);
    assertEquals(QueryResult.UNAVAILABLE, cancel.join());
    cluster.entry(0).store().setRefusing(false);
    cluster.await(
        "the workflow is cancelled", () -> cluster.status(0, 243) == QueryResult.CANCELLED);
  }

  private void replaceOnlyEntry() throws IOException {
    RunningEntry killed = cluster.entry(0);
    cluster.kill(killed);
    cluster.store().drop(killed.memberPrefix());
    cluster.store().failAppends(FakeWorkflowStore.AppendFault.NONE, 0);
    cluster.addEntry();
  }
}
