package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Iterables;
import com.google.common.collect.Lists;
import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.FakeLinks;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.daemon.workflow.WorkflowStore.Writer;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An owner whose machine is suspended, and the side process of a VM whose machine is not, on
 * virtual time. The owner's monotonic clock does not count the suspension.
 */
class SuspendedOwnerTest {
  private static final long ID = 95;
  private static final TaskKey TASK = TestIds.task(ID, 0, 0, 0);
  private static final long SUCCESSOR_EPOCH = 1_000_000;
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);

  /** Longer than a successor waits until it orders other attempts. */
  private static final long SUSPENSION_MILLIS = TERMS.takeoverMillis() + 2_000;

  /** Time for one append and what it causes, in milliseconds. */
  private static final long RENEWAL_MILLIS = 5;

  /** Time in which a report causes a scheduling pass, in milliseconds. */
  private static final long PASS_MILLIS = 20;

  /** Age of evidence that is renewed as often as in ordinary operation, in milliseconds. */
  private static final long MAX_RENEWED_MILLIS = 2_000;

  private final VirtualLoop time = new VirtualLoop();
  private final VirtualLoop vmTime = new VirtualLoop();
  private final FakeWorkflowStore store = new FakeWorkflowStore(1, time.timer());
  private final RefusingStore storeOfOwner = new RefusingStore(store);
  private final PartitionOwnership ownership =
      new PartitionOwnership(
          storeOfOwner,
          time.loop(),
          time::wallMillis,
          new EntryMember("127.0.0.1", 1, 1),
          new NoOpOwnershipListener());
  private final VmTracker vms =
      new VmTracker(time.loop(), ownership, TERMS, time::wallMillis, new PassScheduler());
  private final EntryScheduler scheduler =
      new EntryScheduler(
          time.loop(),
          time::wallMillis,
          ownership,
          vms,
          VmChooser.of(1.5),
          new FakeAdviser(),
          () -> Optional.of(WorkflowTestCluster.configuration(1, "service")));
  private final ScriptedWorker worker = new ScriptedWorker(vmTime);
  private final WorkerSession session =
      new WorkerSession(
          vmTime.loop(),
          worker,
          ScriptedWorker.heartbeat("worker-1"),
          worker.listing(),
          1,
          TERMS,
          InterferenceScope.PER_IMAGE,
          new NoOpSessionListener());
  private final List<RunOrders> frames = new ArrayList<>();
  private final LinkConnection side = FakeLinks.sendingTo(this::receive, time.loop());

  @BeforeEach
  void ownPartition() {
    KeyedRecord submission =
        new KeyedRecord(
            TestIds.id(ID).toString(), WorkflowCodec.encode(WorkflowTestCluster.workflow(ID, 1)));
    store.append(Topic.SUBMISSIONS, 0, List.of(submission), Optional.empty());
    session.start();
    ownership.start();
    advance(500);
  }

  /** Handles a frame as the side process does. */
  private void receive(Frame frame) {
    RunOrders orders = frame.getRunOrders();
    frames.add(orders);
    boolean fromOwner = false;
    for (PartitionEvidence evidence : orders.getLease().getEvidenceList()) {
      fromOwner = session.recordEvidence(0, evidence.getEpoch(), at(orders.getLease(), evidence));
    }
    for (StartRun start : fromOwner ? orders.getStartsList() : List.<StartRun>of()) {
      session.start(WorkflowIdCodec.decode(start.getTask()), start, "program");
    }
  }

  /** Returns the time of the evidence, on the worker's clock. */
  private static long at(LeaseGrant lease, PartitionEvidence evidence) {
    return lease.getWorkerClock() + evidence.getAfterReportMillis();
  }

  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed++) {
      time.advance(1);
      vmTime.advance(1);
    }
  }

  private void suspendOwner() {
    vmTime.advance(SUSPENSION_MILLIS);
    time.shiftWallClock(SUSPENSION_MILLIS);
  }

  private void fenceOwner() {
    store.append(Topic.PROGRESS, 0, List.of(), Optional.of(new Writer(SUCCESSOR_EPOCH, 0)));
  }

  private void report() {
    VmReport.Builder report =
        VmReport.newBuilder()
            .setVm("vm-0")
            .setWorker("worker-1")
            .setWorkerClock(worker.clock())
            .setWantsLease(true)
            .setService("service")
            .setMilliProcessors(4_000)
            .setMemoryMebibytes(8_192)
            .setFreeMilliProcessors(4_000)
            .setFreeMemoryMebibytes(8_192)
            .setOrdersSeen(frames.isEmpty() ? 0 : Iterables.getLast(frames).getNumber());
    session.runs().forEach(run -> report.addRuns(run.report()));
    vms.handleReport(side, report.build());
  }

  private WorkflowTask task() {
    return ownership.active().get(0).task(TASK).orElseThrow();
  }

  /** Decides on a run; the append of the decision is not answered yet. */
  private void decideOnRun() {
    report();
    while (!task().isOpen()) {
      advance(1);
    }
    assertEquals(List.of(), starts());
  }

  private List<StartRun> starts() {
    return frames.stream().flatMap(frame -> frame.getStartsList().stream()).toList();
  }

  private List<PartitionEvidence> evidence() {
    return frames.stream().flatMap(frame -> frame.getLease().getEvidenceList().stream()).toList();
  }

  /** Returns the time of the last evidence, on the worker's clock. */
  private long lastEvidenceAt() {
    LeaseGrant lease =
        Lists.reverse(frames).stream()
            .map(RunOrders::getLease)
            .filter(each -> each.getEvidenceCount() > 0)
            .findFirst()
            .orElseThrow();
    return at(lease, lease.getEvidence(0));
  }

  /**
   * A former owner that was suspended hears of a run that it decided on before. Its successor has
   * waited for the takeover time and ordered another attempt: two runs at the same time.
   */
  @Test
  void runIsNotStartedOnTheWordOfAFormerOwnerThatWasSuspended() {
    decideOnRun();
    suspendOwner();
    fenceOwner();
    report();
    advance(1_000);
    assertEquals(List.of(), worker.listing().running());
  }

  /** Evidence from before a suspension would extend a lease that a successor waited for. */
  @Test
  void evidenceFromBeforeASuspensionIsNotSent() {
    report();
    frames.clear();
    suspendOwner();
    fenceOwner();
    report();
    advance(1_000);
    assertEquals(List.of(), evidence());
  }

  /**
   * The response to an append that was sent before a suspension shows nothing about the time after
   * it. What was decided is ordered once another append has shown that the partition is still
   * owned.
   */
  @Test
  void appendAnsweredAfterASuspensionIsConfirmedByAnotherOne() {
    decideOnRun();
    suspendOwner();
    long woken = worker.clock();
    report();
    advance(RENEWAL_MILLIS);
    assertEquals(1, starts().size());
    assertTrue(lastEvidenceAt() >= woken, "evidence at " + lastEvidenceAt() + ", not " + woken);
    assertEquals(1, worker.listing().running().size());
  }

  /** Guards against a former owner that answers a cancel: no append of its own would fail. */
  @Test
  void effectOnAnIdlePartitionWaitsForAnAppendAfterASuspension() {
    AtomicBoolean done = new AtomicBoolean();
    suspendOwner();
    fenceOwner();
    ownership.active(0).orElseThrow().writer().afterDurable(() -> done.set(true));
    advance(RENEWAL_MILLIS);
    assertFalse(done.get(), "an effect of a former owner");
  }

  /** Guards against a lease that expires because its owner, once woken, waits with the renewal. */
  @Test
  void evidenceIsRenewedAtOnceAfterASuspension() {
    report();
    frames.clear();
    suspendOwner();
    long woken = worker.clock();
    report();
    advance(RENEWAL_MILLIS);
    assertTrue(lastEvidenceAt() >= woken, "evidence at " + lastEvidenceAt() + ", not " + woken);
    assertTrue(lastEvidenceAt() <= worker.clock());
  }

  /** The same without a report: the VM was told nothing yet, but its next report is answered. */
  @Test
  void evidenceIsRenewedAfterASuspensionWithoutAReport() {
    suspendOwner();
    long woken = worker.clock();
    advance(500);
    report();
    assertTrue(lastEvidenceAt() >= woken, "evidence at " + lastEvidenceAt() + ", not " + woken);
  }

  /** A report that was read before a suspension must not date evidence from after it too late. */
  @Test
  void evidenceSentForAReportReadBeforeASuspensionIsNotDatedTooLate() {
    report();
    suspendOwner();
    frames.clear();
    advance(1_000);
    vms.recordUnplaced();
    assertTrue(
        lastEvidenceAt() <= worker.clock() - 1_000 + RENEWAL_MILLIS + 200,
        "evidence at " + lastEvidenceAt() + " at " + worker.clock());
  }

  /** Nor evidence from before it. */
  @Test
  void grantAfterASuspensionForAnEarlierReportHasNoEvidenceOfAFormerOwner() {
    report();
    frames.clear();
    suspendOwner();
    fenceOwner();
    vms.recordUnplaced();
    advance(1_000);
    assertEquals(1, frames.size());
    assertEquals(List.of(), evidence());
  }

  /** Guards against evidence that a clock step makes newer. */
  @ParameterizedTest
  @ValueSource(longs = {-60_000, -3_000, -100, 100, 3_000, 60_000})
  void clockStepMakesNoEvidenceNewer(long stepMillis) {
    long before = evidenceBeforeAnOutageOfTheStore();
    time.shiftWallClock(stepMillis);
    for (int i = 0; i < 10; i++) {
      report();
      advance(100);
    }
    assertTrue(lastEvidenceAt() <= before, "evidence at " + lastEvidenceAt() + ", not " + before);
  }

  private long evidenceBeforeAnOutageOfTheStore() {
    report();
    advance(RENEWAL_MILLIS);
    long before = lastEvidenceAt();
    storeOfOwner.setRefusing(true);
    return before;
  }

  /** Guards against leases that expire because a clock was set. */
  @ParameterizedTest
  @ValueSource(longs = {-60_000, -3_000, 3_000, 60_000})
  void clockStepDoesNotStopLeases(long stepMillis) {
    time.shiftWallClock(stepMillis);
    long stepped = worker.clock();
    report();
    advance(RENEWAL_MILLIS);
    assertTrue(lastEvidenceAt() >= stepped, "evidence at " + lastEvidenceAt());
  }

  /**
   * Guards against a clock that is set again and again, so that leases expire; appends are answered
   * faster than the clock is set.
   */
  @Test
  void repeatedClockStepsDoNotStopLeases() {
    report();
    advance(PASS_MILLIS);
    for (int i = 0; i < 100; i++) {
      time.shiftWallClock(i % 2 == 0 ? -1_000 : 1_000);
      report();
      advance(100);
      long age = worker.clock() - lastEvidenceAt();
      assertTrue(age < MAX_RENEWED_MILLIS, "evidence is " + age + " ms old");
    }
  }

  /** Evidence in ordinary operation is dated as before, when an append of the owner was sent. */
  @Test
  void evidenceIsDatedWhenItsAppendWasSent() {
    ownership.active().get(0).writer().renewEvidence();
    long sent = worker.clock();
    advance(RENEWAL_MILLIS);
    storeOfOwner.setRefusing(true);
    for (int i = 0; i < 10; i++) {
      report();
      assertEquals(sent, lastEvidenceAt());
      advance(700);
    }
  }

  /** Nothing else shows in the logs of a day that an owner was suspended. */
  @Test
  void suspensionIsLoggedOnce() {
    List<String> lines = new ArrayList<>();
    Handler handler = new CollectingHandler(lines);
    Logger logger = Logger.getLogger(PartitionOwnership.class.getName());
    logger.addHandler(handler);
    suspendOwner();
    report();
    advance(1_000);
    logger.removeHandler(handler);
    List<String> diverged =
        lines.stream().filter(line -> line.contains("event=clocks-diverged")).toList();
    assertEquals(1, diverged.size(), () -> "lines: " + lines);
    long epoch = ownership.active().get(0).epoch();
    assertTrue(diverged.get(0).contains("evidence_voided=0@" + epoch), diverged.get(0));
  }

  /** What a run needs is not held up by a suspension of an owner that is still the owner. */
  @Test
  void runOrderedAfterASuspensionStarts() {
    suspendOwner();
    advance(500);
    assertFalse(task().isOpen());
    decideOnRun();
    advance(RENEWAL_MILLIS);
    assertEquals(1, worker.listing().running().size());
  }

  /** Collects the messages of log records. */
  private static final class CollectingHandler extends Handler {
    private final List<String> lines;

    CollectingHandler(List<String> lines) {
      this.lines = lines;
    }

    @Override
    public void publish(LogRecord logged) {
      lines.add(logged.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  private final class PassScheduler implements VmTracker.Listener {
    @Override
    public void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome) {
      scheduler.runEnded(task, outcome);
    }

    @Override
    public boolean mayOrder() {
      return true;
    }

    @Override
    public void capacityChanged() {
      scheduler.capacityChanged();
    }
  }
}
