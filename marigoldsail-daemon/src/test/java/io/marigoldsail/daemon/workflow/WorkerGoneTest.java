package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.FakeLinks;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * On which evidence an owner considers a run lost because its worker incarnation is gone, on
 * virtual time.
 */
class WorkerGoneTest {
  private static final String VM = "vm-0";

  /** The worker incarnations of the VM, in the order in which they registered. */
  private static final String FIRST = "incarnation-1";

  private static final String SECOND = "incarnation-2";
  private static final String THIRD = "incarnation-3";

  private static final RunKey RUN = new RunKey(TestIds.task(7, 0, 0, 0), 1);
  private static final RunKey OTHER_RUN = new RunKey(TestIds.task(8, 0, 0, 0), 1);
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);

  /** Interval in which a question is not repeated, in milliseconds. */
  private static final long QUESTION_PAUSE_MILLIS = 600;

  /** Time after which an unanswered question is repeated, in milliseconds. */
  private static final long QUESTION_REPEATED_MILLIS = 1_000;

  private static final Logger LOGGER = Logger.getLogger(VmTracker.class.getName());

  private final VirtualLoop time = new VirtualLoop();
  private final FakeWorkflowStore store = new FakeWorkflowStore(1, time.timer());
  private final PartitionOwnership ownership =
      new PartitionOwnership(
          store,
          time.loop(),
          time::wallMillis,
          new EntryMember("127.0.0.1", 1, 1),
          new ActivationListener());
  private final VmTracker vms =
      new VmTracker(time.loop(), ownership, TERMS, () -> 0, new NoOpVmListener());
  private final Side side = new Side();
  private final List<String> lines = new ArrayList<>();
  private final Handler collector =
      new Handler() {
        @Override
        public void publish(LogRecord line) {
          lines.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  @BeforeEach
  void collect() {
    LOGGER.setLevel(Level.INFO);
    LOGGER.addHandler(collector);
  }

  @AfterEach
  void stop() {
    LOGGER.removeHandler(collector);
    LOGGER.setLevel(null);
  }

  /** A connection of the VM's side process, which the test simulates. */
  private final class Side {
    private final List<RunOrders> frames = new ArrayList<>();
    private final LinkConnection connection = FakeLinks.to(time.loop(), this::received);

    private void received(Frame frame) {
      frames.add(frame.getRunOrders());
    }

    void report(String worker) {
      report(VmReport.newBuilder().setWorker(worker));
    }

    void report(VmReport.Builder report) {
      vms.handleReport(connection, report.setVm(VM).build());
      time.runPending();
    }

    /** Reports after all frames received so far were handled. */
    void reportHavingHandledAll(String worker) {
      report(VmReport.newBuilder().setWorker(worker).setOrdersSeen(frames.size()));
    }

    /** Returns the frames that are addressed to the incarnation. */
    List<RunOrders> framesTo(String worker) {
      return frames.stream().filter(each -> each.getWorker().equals(worker)).toList();
    }

    void close() {
      vms.disconnected(connection, "closed by the test");
    }
  }

  private void append(Topic topic, Workflow workflow) {
    KeyedRecord keyed =
        new KeyedRecord(
            workflow.spec().id().toString(),
            topic == Topic.SUBMISSIONS
                ? WorkflowCodec.encode(workflow.spec())
                : WorkflowCodec.encode(workflow.record()));
    store.append(topic, 0, List.of(keyed), Optional.empty());
  }

  /** Becomes the owner of a run that a former owner ordered on the incarnation. */
  private void takeOver(String worker) {
    Workflow workflow = Workflow.of(WorkflowTestCluster.workflow(RUN.task().workflow(), 1));
    workflow.startAttempt(workflow.tasks().get(0), new Place(VM, worker));
    append(Topic.SUBMISSIONS, workflow);
    append(Topic.PROGRESS, workflow);
    becomeOwner();
  }

  private void becomeOwner() {
    ownership.start();
    time.advance(500);
    assertEquals(1, ownership.active().size());
  }

  private OwnedPartition partition() {
    return ownership.active().get(0);
  }

  /** Orders a run on the incarnation as the owner of its partition. */
  private void order(RunKey key, String worker) {
    partition().add(WorkflowTestCluster.workflow(key.task().workflow(), 1));
    WorkflowTask task = task(key);
    assertEquals(key, task.workflow().startAttempt(task, new Place(VM, worker)));
    OpenRun run = OpenRun.create(partition(), task, time.loop().now(), false, "");
    vms.addOrdered(partition(), List.of(run));
    time.advance(5);
  }

  private WorkflowTask task(RunKey key) {
    return partition().task(key.task()).orElseThrow();
  }

  private boolean isOpen() {
    return task(RUN).isOpen() && task(RUN).openRun().equals(RUN);
  }

  private static RunReport started(RunKey run) {
    return RunReport.newBuilder().setTask(WorkflowIdCodec.encode(run)).setStarted(true).build();
  }

  private String lineOf(String event) {
    return lines.stream()
        .filter(line -> line.startsWith("event=" + event + " "))
        .findFirst()
        .orElseThrow(() -> new AssertionError(event + " is not logged: " + lines));
  }

  private static void assertContains(String line, String... parts) {
    for (String part : parts) {
      assertTrue((line + " ").contains(" " + part + " "), line);
    }
  }

  /**
   * Guards against a second run of a task: the first report on an abandoned connection names the
   * previous incarnation and is read after a run was ordered on the current one.
   */
  @Test
  void olderConnectionReadLateDoesNotEndARunOfANewerIncarnation() {
    becomeOwner();
    Side newer = new Side();
    newer.report(SECOND);
    order(RUN, SECOND);
    side.report(FIRST);
    assertTrue(isOpen(), "the run is open");
    side.close();
    newer.report(VmReport.newBuilder().setWorker(SECOND).addRuns(started(RUN)));
    assertTrue(isOpen(), "the run is open");
  }

  /**
   * Guards against a second run of a task: a new owner reads from the store that a run is on the
   * current incarnation, then reads a report from before that incarnation registered.
   */
  @Test
  void newOwnerDoesNotEndARunOnAReportFromBefore() {
    takeOver(SECOND);
    side.report(VmReport.newBuilder().setWorker(FIRST).setWantsLease(true));
    assertTrue(isOpen(), "the run is open");
    // Sent before any frame of this owner arrived.
    side.report(FIRST);
    assertTrue(isOpen(), "the run is open");
    side.report(VmReport.newBuilder().setWorker(SECOND).setOrdersSeen(2).addRuns(started(RUN)));
    assertTrue(isOpen(), "the run is open");
  }

  /** Guards against a new owner that waits for the takeover time though the worker is gone. */
  @Test
  void newOwnerEndsARunOnceItsQuestionIsAnswered() {
    takeOver(SECOND);
    side.report(THIRD);
    assertTrue(isOpen(), "the run is open");
    time.advance(3);
    side.reportHavingHandledAll(THIRD);
    assertFalse(isOpen(), "the run is open");
    assertContains(
        lineOf("run-ended"),
        "outcome=LOST",
        "evidence=ANSWERED",
        "age_ms=3",
        "epoch=" + partition().epoch());
  }

  /** Guards against a question that the side process takes for a lease, an order or another one. */
  @Test
  void questionIsAnEmptyFrameToTheIncarnationOfTheRun() {
    takeOver(SECOND);
    side.report(THIRD);
    RunOrders expected =
        RunOrders.newBuilder()
            .setNumber(1)
            .setLease(LeaseGrant.getDefaultInstance())
            .setWorker(SECOND)
            .setCapacityUnneeded(true)
            .setTellsSupersededEnds(true)
            .build();
    assertEquals(List.of(expected), side.frames);
    assertContains(
        lineOf("worker-queried"),
        "vm=" + VM,
        "worker=" + SECOND,
        "reported=" + THIRD,
        "epoch=" + partition().epoch());
  }

  /** Guards against a crash of a worker that is noticed only after another round trip. */
  @Test
  void runIsLostWithTheFirstReportOfASuccessorOnTheConnection() {
    becomeOwner();
    side.report(FIRST);
    order(RUN, FIRST);
    int frames = side.frames.size();
    side.report(SECOND);
    assertFalse(isOpen(), "the run is open");
    assertEquals(frames, side.frames.size(), "no question is asked");
    assertContains(
        lineOf("run-ended"), "evidence=SUCCESSOR_ON_CONNECTION", "epoch=" + partition().epoch());
  }

  /** Guards against a crash that is forgotten when the side process has no worker for a while. */
  @Test
  void successorAfterATimeWithoutAWorkerIsEvidence() {
    becomeOwner();
    side.report(FIRST);
    order(RUN, FIRST);
    side.report("");
    assertTrue(isOpen(), "a report without a worker is no evidence");
    side.report(SECOND);
    assertFalse(isOpen(), "the run is open");
  }

  /** Guards against a worker that is reported as gone, and not believed. */
  @Test
  void workerReportedAsGoneEndsTheRunAtOnce() {
    takeOver(SECOND);
    side.report(VmReport.newBuilder().setGoneWorker(SECOND));
    assertFalse(isOpen(), "the run is open");
    assertContains(lineOf("run-ended"), "evidence=GONE_REPORTED", "epoch=" + partition().epoch());
  }

  /**
   * Guards against a second run of a task: the worker started again under its id, and its successor
   * executed a late copy of the start. A restarted side process cannot tell whom it was meant for.
   */
  @Test
  void runListedByASuccessorUnderTheSameIdStaysOpenUntilItHasEnded() {
    becomeOwner();
    side.report("i-1@1000");
    order(RUN, "i-1@1000");
    side.report(VmReport.newBuilder().setWorker("i-1@2000").addRuns(started(RUN)));
    assertTrue(isOpen(), "the run is open");
    time.advance(1);
    assertEquals(
        List.of(RUN),
        side.framesTo("i-1@2000").stream()
            .flatMap(each -> each.getStopsList().stream())
            .map(WorkflowIdCodec::decode)
            .toList());
    side.report("i-1@2000");
    assertFalse(isOpen(), "the run is open");
  }

  /** Guards against a run that is lost because the side process was replaced by a newer version. */
  @Test
  void nameWithoutBirthDoesNotEndARunOfTheSameWorker() {
    takeOver("i-1");
    side.report(VmReport.newBuilder().setWorker("i-1@1000").addRuns(started(RUN)));
    assertTrue(isOpen(), "the run is open");
    side.reportHavingHandledAll("i-1@1000");
    assertTrue(isOpen(), "the run is open");
    assertEquals(1, side.framesTo("i-1@1000").stream().mapToInt(RunOrders::getStartsCount).sum());
  }

  /** Guards against one more frame with each report of a busy VM. */
  @Test
  void questionIsRepeatedOnlyAfterAPause() {
    takeOver(SECOND);
    for (long millis = 0; millis < QUESTION_PAUSE_MILLIS; millis += 10) {
      side.report(FIRST);
      time.advance(10);
    }
    assertEquals(1, side.framesTo(SECOND).size());
    time.advance(QUESTION_REPEATED_MILLIS - QUESTION_PAUSE_MILLIS);
    side.report(FIRST);
    assertEquals(2, side.framesTo(SECOND).size());
    // An answer to the first question is as good as one to the second.
    side.report(VmReport.newBuilder().setWorker(FIRST).setOrdersSeen(1));
    assertFalse(isOpen(), "the run is open");
  }

  /** Guards against an order that counts as handled because a question took its frame's number. */
  @Test
  void questionDoesNotTakeTheNumberOfPendingOrders() {
    takeOver(SECOND);
    side.report(FIRST);
    int before = side.frames.size();
    time.advance(QUESTION_REPEATED_MILLIS);
    partition().add(WorkflowTestCluster.workflow(OTHER_RUN.task().workflow(), 1));
    WorkflowTask other = task(OTHER_RUN);
    other.workflow().startAttempt(other, new Place(VM, FIRST));
    OpenRun run = OpenRun.create(partition(), other, time.loop().now(), false, "");
    vms.addOrdered(partition(), List.of(run));
    partition().writer().afterDurable(() -> side.report(FIRST));
    time.advance(5);
    List<RunOrders> added = side.frames.subList(before, side.frames.size());
    assertEquals(
        List.of(FIRST, SECOND), added.stream().map(RunOrders::getWorker).toList(), "addressees");
    assertEquals(1, added.get(0).getStartsCount());
    for (int i = 0; i < side.frames.size(); i++) {
      assertEquals(i + 1, side.frames.get(i).getNumber());
    }
    side.report(VmReport.newBuilder().setWorker(FIRST).setOrdersSeen(before));
    assertEquals(1, side.framesTo(FIRST).size(), "the start is under way and not sent again");
    side.report(VmReport.newBuilder().setWorker(FIRST).setOrdersSeen(before + 1));
    assertEquals(2, side.framesTo(FIRST).size(), "the start was lost and is sent again");
  }

  /** Guards against a question that postpones the end of a run whose lease has expired. */
  @Test
  void questionIsNoLease() {
    takeOver(SECOND);
    long opened = partition().writer().openedAt();
    time.advance(2_000);
    side.report(FIRST);
    side.close();
    long elapsed = (time.loop().now() - opened) / 1_000_000;
    time.advance(TERMS.takeoverMillis() - elapsed);
    vms.closeExpiredRuns();
    assertTrue(isOpen(), "the run is open");
    time.advance(1);
    vms.closeExpiredRuns();
    assertFalse(isOpen(), "the run is open");
    assertContains(
        lineOf("run-ended"),
        "evidence=EXPIRED",
        "age_ms=" + (TERMS.takeoverMillis() + 1),
        "epoch=" + partition().epoch());
  }

  /**
   * Guards against an end of another incarnation that completes a run which may still be active.
   */
  @Test
  void endReportedByAnotherIncarnationDoesNotEndTheRun() {
    takeOver(SECOND);
    VmReport.Builder report =
        VmReport.newBuilder().setWorker(FIRST).addEnds(ScriptedVm.end(RUN, RunOutcome.STOPPED));
    side.report(report);
    assertTrue(isOpen(), "the run is open");
    side.report(report.setOrdersSeen(side.frames.size()));
    assertFalse(isOpen(), "the run is open");
  }

  /** Tracks the runs of activated partitions, as the entry does. */
  private final class ActivationListener extends NoOpOwnershipListener {
    @Override
    public void activated(OwnedPartition partition) {
      vms.partitionActivated(partition);
    }
  }

  private static final class NoOpVmListener implements VmTracker.Listener {
    @Override
    public void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome) {}

    @Override
    public boolean mayOrder() {
      return true;
    }

    @Override
    public void capacityChanged() {}
  }
}
