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

/** What callers and workers may rely on, each under the trouble that would break it. */
class WorkflowRulesTest {
  private static final long NEVER_ENDS_MILLIS = 60_000;
  private static final StepSpec.TaskTraits LONG_RUNNING =
      new StepSpec.TaskTraits(false, false, false, true, false, "service", 100, 1);
  private static final StepSpec.TaskTraits BEST_EFFORT =
      new StepSpec.TaskTraits(false, true, false, false, true, "batch", 0, 0);

  private final WorkflowTestCluster world = new WorkflowTestCluster();

  @AfterEach
  void stop() {
    world.close();
  }

  private void submit(WorkflowSpec workflow) {
    assertInstanceOf(WorkflowStore.Appended.class, world.entry(0).entry().submit(workflow).join());
  }

  private void killSecondEntry() {
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
   * A caller's task fails wherever it runs, and the entry that decides for it is killed after the
   * first failures. The next owner has to go on counting where the first one was, and to tell the
   * caller that it failed after three runs, not after three more.
   */
  @Test
  void failureLimitHoldsAcrossATakeover() throws IOException {
    world.start(2, 3, 300);
    for (int vm = 0; vm < 3; vm++) {
      worker("vm-" + vm).outcomeOfRuns(RunOutcome.FAILED);
    }
    long[] ids = LongStream.rangeClosed(101, 106).toArray();
    for (long id : ids) {
      submit(WorkflowTestCluster.workflow(id, 1));
    }
    world.await(
        "all are at their second run", () -> LongStream.of(ids).allMatch(id -> starts(id, 0) >= 2));
    killSecondEntry();
    for (long id : ids) {
      world.await("it has failed", () -> world.status(0, id) == QueryResult.FAILED);
      assertEquals(3, starts(id, 0), "runs of " + id);
    }
  }

  /**
   * An entry is killed while a first step is at work. The next owner knows from the store alone
   * what was done, and no task of a later step may begin before all of the step before are done.
   */
  @Test
  void stepDependenciesHoldAcrossATakeover() throws IOException {
    world.start(2, 2, 400);
    long[] ids = LongStream.rangeClosed(111, 116).toArray();
    for (long id : ids) {
      submit(WorkflowTestCluster.workflow(id, 2, 2, 1));
    }
    world.await("half have begun", () -> world.history().totalStarts() >= 15);
    killSecondEntry();
    for (long id : ids) {
      world.await("it is done", () -> world.status(0, id) == QueryResult.DONE);
      for (int index = 0; index < 2; index++) {
        assertEquals(2, world.history().doneBefore(new TaskKey(id, 0, 1, index)));
      }
      assertEquals(2, world.history().doneBefore(new TaskKey(id, 0, 2, 0)));
    }
    assertEquals(List.of(), world.history().violations());
  }

  /**
   * All tasks end while the store takes nothing. Whoever asks must not hear that the workflow is
   * done: were the entry to die now, the next owner would run the last task again.
   */
  @Test
  void endIsNotReportedBeforeItIsDurable() throws IOException {
    world.start(1, 1, 500);
    submit(WorkflowTestCluster.workflow(121, 2));
    world.await("both are at work", () -> world.history().totalStarts() == 2);
    world.store().failAppends(FakeWorkflowStore.AppendFault.REFUSED, Integer.MAX_VALUE);
    FakeWorkerGateway worker = worker("vm-0");
    world.await(
        "both have ended", () -> worker.activeRuns().isEmpty() && worker.unacknowledgedEnds() == 2);
    world.await(
        "the entry has tried to write it several times", () -> world.store().faultsSeen() >= 5);
    assertNotEquals(QueryResult.DONE, world.status(0, 121));
    assertEquals(2, worker.unacknowledgedEnds(), "an end was noted that is not durable");
    world.store().failAppends(FakeWorkflowStore.AppendFault.NONE, 0);
    world.await("it is done", () -> world.status(0, 121) == QueryResult.DONE);
    world.await("all ends are noted", () -> worker.unacknowledgedEnds() == 0);
  }

  /**
   * The store takes nothing when the owner decides where tasks go. No worker may be asked yet: were
   * the owner to die now, the next one would know nothing of the order and run the tasks elsewhere.
   */
  @Test
  void noStartIsSentBeforeTheAttemptIsDurable() throws IOException {
    world.start(1, 1, 100);
    world.store().failAppends(FakeWorkflowStore.AppendFault.REFUSED, Integer.MAX_VALUE);
    submit(WorkflowTestCluster.workflow(125, 2));
    world.await(
        "the entry has tried to write it several times", () -> world.store().faultsSeen() >= 5);
    assertEquals(List.of(), worker("vm-0").startRequests());
    world.store().failAppends(FakeWorkflowStore.AppendFault.NONE, 0);
    world.await("it is done", () -> world.status(0, 125) == QueryResult.DONE);
  }

  /**
   * No worker is there yet, and callers hand in. Whichever entry the operator asks has to count all
   * that wait, also those that another entry decides for, and none once they have begun.
   */
  @Test
  void everyEntryCountsAllWaitingWorkflows() throws IOException {
    world.start(2, 0, 0);
    for (long id = 131; id <= 142; id++) {
      submit(WorkflowTestCluster.workflow(id, 1));
    }
    for (int entry = 0; entry < 2; entry++) {
      WorkflowEntry asked = world.entry(entry).entry();
      world.await("all are counted", () -> asked.waitingWorkflows("queue").join() == 12);
      assertEquals(0, asked.waitingWorkflows("another queue").join());
    }
    world.addSide("vm-0", NEVER_ENDS_MILLIS);
    world.addSide("vm-1", NEVER_ENDS_MILLIS);
    for (int entry = 0; entry < 2; entry++) {
      WorkflowEntry asked = world.entry(entry).entry();
      world.await("none waits", () -> asked.waitingWorkflows("queue").join() == 0);
    }
  }

  /**
   * A worker does not answer an order to start, the caller cancels, and the worker carries the
   * order out seconds later. By then it must have been told not to: nothing of a cancelled workflow
   * begins.
   */
  @Test
  void delayedStartAfterCancelRunsNothing() throws IOException {
    world.start(1, 1, NEVER_ENDS_MILLIS);
    FakeWorkerGateway worker = worker("vm-0");
    worker.delayStarts(Integer.MAX_VALUE, 1_500);
    submit(WorkflowTestCluster.workflow(151, 2));
    world.await("both were asked for", () -> worker.startRequests().size() >= 2);
    assertEquals(QueryResult.CANCELLED, world.entry(0).entry().query(151, "queue", true).join());
    world.await("all late orders were carried out", () -> worker.hasExecutedDelayedStarts());
    assertEquals(0, world.history().totalStarts());
  }

  /**
   * A worker says that it leaves. What lasts has to be at work elsewhere before it has gone, and
   * nothing more may begin on it, however much waits.
   */
  @Test
  void drainingWorkerGetsNoRunsAndItsServicesMove() throws IOException {
    world.start(2, 1, NEVER_ENDS_MILLIS);
    submit(WorkflowTestCluster.workflow(161, LONG_RUNNING, 3));
    FakeWorkerGateway leaving = worker("vm-0");
    world.await("all are at work", () -> leaving.activeRuns().size() == 3);
    leaving.drain();
    world.addSide("vm-1", NEVER_ENDS_MILLIS);
    world.await("all are at work elsewhere", () -> worker("vm-1").activeRuns().size() == 3);
    assertEquals(List.of(), leaving.activeRuns());
    // As many as the other VM has no room for.
    submit(WorkflowTestCluster.workflow(162, 8));
    world.await("it is full", () -> worker("vm-1").activeRuns().size() == 8);
    assertEquals(3, leaving.startRequests().size());
    assertEquals(List.of(), world.history().violations());
  }

  /**
   * A sick worker does not answer an order to start and then says that it leaves. Asked again it
   * may well answer, and the task is on a worker that ends it a moment later; it belongs elsewhere.
   */
  @Test
  void drainingWorkerGetsNoRepeatedStart() throws IOException {
    world.start(1, 1, 200);
    FakeWorkerGateway leaving = worker("vm-0");
    leaving.dropStarts(Integer.MAX_VALUE);
    submit(WorkflowTestCluster.workflow(171, 1));
    world.await("it was asked for", () -> !leaving.startRequests().isEmpty());
    leaving.drain();
    world.heartbeatAndWait("vm-0");
    List<RunKey> asked = leaving.startRequests();
    world.addSide("vm-1", 200);
    world.await("it is done", () -> world.status(0, 171) == QueryResult.DONE);
    assertEquals(asked, leaving.startRequests());
  }

  /**
   * Heavy tasks stand beside a service whose users they disturb, and a VM without services is free.
   * The heavy ones are slowed down and move there; the service, of which only one task may be away,
   * is neither stopped nor moved.
   */
  @Test
  void interferingTaskMovesAndTheServiceStays() throws IOException {
    world.start(1, 1, NEVER_ENDS_MILLIS);
    submit(WorkflowTestCluster.workflow(181, LONG_RUNNING, 3));
    FakeWorkerGateway crowded = worker("vm-0");
    world.await("the service is at work", () -> crowded.activeRuns().size() == 3);
    submit(WorkflowTestCluster.workflow(182, BEST_EFFORT, 1));
    world.await("a heavy task is beside it", () -> crowded.activeRuns().size() == 4);
    crowded.measurement(400);
    world.addSide("vm-1", NEVER_ENDS_MILLIS);
    world.await("the heavy task has moved", () -> worker("vm-1").activeRuns().size() == 1);
    assertEquals(182, worker("vm-1").activeRuns().get(0).task().workflow());
    assertEquals(Collections.nCopies(3, 1), startsOf(181, 3));
    assertEquals(3, crowded.activeRuns().size());
  }

  private List<Integer> startsOf(long id, int tasks) {
    return LongStream.range(0, tasks).mapToObj(index -> starts(id, (int) index)).toList();
  }

  /**
   * The operator sends a queue to another service, and a copy of the version before arrives late.
   * Nothing more of the queue may begin on the former service's workers; what waits goes on once a
   * newer version sends the queue back.
   */
  @Test
  void queueIsServedByTheServiceOfTheNewestVersionOnly() throws IOException {
    world.start(1, 1, NEVER_ENDS_MILLIS);
    FakeWorkerGateway worker = worker("vm-0");
    WorkflowEntry entry = world.entry(0).entry();
    submit(WorkflowTestCluster.workflow(211, 1));
    world.await("it is at work", () -> worker.activeRuns().size() == 1);
    entry.configure(WorkflowTestCluster.configuration(3, "another"));
    entry.configure(WorkflowTestCluster.configuration(2, "service"));
    submit(WorkflowTestCluster.workflow(212, 1));
    int before = worker.listings();
    world.await("the worker was looked at again", () -> worker.listings() >= before + 3);
    assertEquals(1, worker.startRequests().size());
    entry.configure(WorkflowTestCluster.configuration(4, "service"));
    world.await("both are at work", () -> worker.activeRuns().size() == 2);
  }

  /**
   * All entries lose power at once, with workflows waiting and at work. New ones that know nothing
   * but the store bring every accepted workflow to its end.
   */
  @Test
  void newEntriesTakeOverWhenAllHaveDied() throws IOException {
    world.start(2, 2, 700);
    long[] ids = LongStream.rangeClosed(191, 202).toArray();
    for (long id : ids) {
      submit(WorkflowTestCluster.workflow(id, 2, 1));
    }
    // More than there is room for at once, so that some are done.
    world.await("some are done", () -> world.history().totalStarts() >= 20);
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
    assertEquals(List.of(), world.history().violations());
  }

  /**
   * An entry can read nothing from the store any more. A caller asks it for a workflow that another
   * entry may have taken meanwhile; it has to say that it cannot tell, since "unknown" means that
   * the caller's work is lost.
   */
  @Test
  void entryWithoutStoreDoesNotReportUnknownWorkflow() throws IOException {
    world.start(1, 0, 0);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, world.status(0, 221));
    world.entry(0).store().setRefusing(true);
    world.await("it cannot tell", () -> world.status(0, 221) == QueryResult.UNAVAILABLE);
  }

  /**
   * A workflow ended long ago and is to be forgotten, but the store does not drop what the caller
   * handed in. What is known of its end has to stay as well: a new owner that finds the one without
   * the other takes it for new and runs it again.
   */
  @Test
  void partlyEvictedWorkflowDoesNotRunAgain() throws IOException {
    world.addEntry(0);
    world.addSide("vm-0", 50);
    world.awaitReady();
    world.store().refuseDrops();
    submit(WorkflowTestCluster.workflow(231, 2));
    world.await("it was to be dropped", () -> world.store().dropsRefused() >= 1);
    RunningEntry killed = world.entry(0);
    world.kill(killed);
    world.store().drop(killed.memberPrefix());
    world.addEntry();
    world.await("the next one tells", () -> world.status(0, 231) == QueryResult.DONE);
    assertEquals(2, world.history().totalStarts());
  }

  /**
   * An entry that lost its partitions while it was suspended wakes up, finds runs that it does not
   * know on a VM, and orders to stop them. The side process has heard from its successor under a
   * higher epoch and must not obey.
   */
  @Test
  void formerOwnerCannotStopRunsOfItsSuccessor() throws IOException {
    world.start(1, 1, NEVER_ENDS_MILLIS);
    submit(WorkflowTestCluster.workflow(241, 1));
    world.await("it is at work", () -> worker("vm-0").activeRuns().size() == 1);
    try (FormerOwner former = new FormerOwner()) {
      former.start();
      world.store().join(former.member(), Long.MAX_VALUE);
      world.await("the side process knows it", () -> former.report().isPresent());
      RunKey run = worker("vm-0").activeRuns().get(0);
      former.stop(
          run, WorkflowIds.partition(run.task().workflow(), WorkflowTestCluster.PARTITIONS));
      world.await(
          "the side process has read the order",
          () -> former.report().orElseThrow().getOrdersSeen() == 1);
      assertEquals(List.of(run), worker("vm-0").activeRuns());
    }
  }

  /** Guards against a task that runs again, since a former owner noted an end for its successor. */
  @Test
  void formerOwnerCannotAcknowledgeEndForItsSuccessor() throws IOException {
    world.start(1, 1, 1_000);
    submit(WorkflowTestCluster.workflow(242, 1));
    world.await("it is at work", () -> worker("vm-0").activeRuns().size() == 1);
    RunKey run = worker("vm-0").activeRuns().get(0);
    world.store().failAppends(FakeWorkflowStore.AppendFault.REFUSED, Integer.MAX_VALUE);
    world.await("it has ended", () -> worker("vm-0").unacknowledgedEnds() == 1);
    try (FormerOwner former = new FormerOwner()) {
      former.start();
      world.store().join(former.member(), Long.MAX_VALUE);
      world.await("the side process knows it", () -> former.report().isPresent());
      former.acknowledge(
          run, WorkflowIds.partition(run.task().workflow(), WorkflowTestCluster.PARTITIONS));
      world.await(
          "the side process has read the note",
          () -> former.report().orElseThrow().getOrdersSeen() == 1);
      world.store().drop(former.member());
    }
    replaceOnlyEntry();
    world.await("the next one tells", () -> world.status(0, 242) == QueryResult.DONE);
    assertEquals(1, world.history().totalStarts());
    assertEquals(List.of(), world.history().violations());
  }

  /** Guards against a cancel without an answer, since its owner cannot make it durable. */
  @Test
  void cancelThatIsNotDurableIsAnsweredCannotTell() throws IOException {
    world.start(1, 1, NEVER_ENDS_MILLIS);
    submit(WorkflowTestCluster.workflow(243, 1));
    world.await("it is at work", () -> worker("vm-0").activeRuns().size() == 1);
    world.entry(0).store().setRefusing(true);
    CompletableFuture<QueryResult> told = world.entry(0).entry().query(243, "queue", true);
    world.await("it is answered", told::isDone);
    assertEquals(QueryResult.UNAVAILABLE, told.join());
    world.entry(0).store().setRefusing(false);
    world.await("it is cancelled", () -> world.status(0, 243) == QueryResult.CANCELLED);
  }

  private void replaceOnlyEntry() throws IOException {
    RunningEntry killed = world.entry(0);
    world.kill(killed);
    world.store().drop(killed.memberPrefix());
    world.store().failAppends(FakeWorkflowStore.AppendFault.NONE, 0);
    world.addEntry();
  }
}
