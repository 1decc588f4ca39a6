package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.workflow.WorkerGateway.StartOrder;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests when a side process reports changes to two entries.
 *
 * <p>The clock that determines when reports are due stands still unless a test advances it. A
 * periodic report requests a lease and a report of a change does not, which distinguishes them.
 */
@Timeout(40)
class WorkflowSideProcessReportsTest {
  private static final int PARTITIONS = 2;
  private static final int ENTRIES = 2;

  /**
   * Minimum interval between reports of changes to an entry that owns no runs on the VM, in
   * nanoseconds.
   */
  private static final long MIN_INTERVAL_NANOS = ENTRIES * TimeUnit.MILLISECONDS.toNanos(25);

  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final String WORKER = "worker-1";
  private static final RunKey RUN = new RunKey(TestIds.task(7, 0, 0, 0), 1);
  private static final int OWNED = RUN.task().workflow().partition(PARTITIONS);

  private static final int ROUNDS = 7;

  /** Number of periodic reports after which a change counts as not reported separately. */
  private static final int PERIODIC_REPORTS = 5;

  private final AtomicLong clock = new AtomicLong();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final LinkLoop loop = new LinkLoop("side", clock::get);
  private final ScriptedOwnersStore store = new ScriptedOwnersStore(PARTITIONS);
  private final FakeWorkerGateway worker =
      new FakeWorkerGateway(WORKER, timer, new RunHistory(), 60_000);
  private final WorkflowSideProcess side =
      new WorkflowSideProcess(loop, store, worker, "vm-0", TERMS, InterferenceScope.PER_IMAGE);
  private final ScriptedEntry owner;
  private final ScriptedEntry nonOwner;
  private LinkConnection ownerLink;

  WorkflowSideProcessReportsTest() throws IOException {
    owner = new ScriptedEntry();
    nonOwner = new ScriptedEntry();
  }

  private void start() throws InterruptedException {
    side.start();
    store
        .nextRequest()
        .complete(
            ScriptedOwnersStore.owners(
                Map.of(OWNED, owner.member(), 1 - OWNED, nonOwner.member())));
    ownerLink = owner.awaitConnection();
    nonOwner.awaitConnection();
    assertTrue(side.heartbeat(heartbeat(worker.incarnation(), 1_000)).join());
  }

  @AfterEach
  void stop() {
    loop.close();
    owner.close();
    nonOwner.close();
    timer.shutdownNow();
  }

  private static WorkerHeartbeat heartbeat(int milliProcessors) {
    return heartbeat(WORKER, milliProcessors);
  }

  private static WorkerHeartbeat heartbeat(String incarnation, int milliProcessors) {
    return new WorkerHeartbeat(
        incarnation,
        "service",
        "zone",
        ImmutableList.of(),
        "",
        new Sizes(milliProcessors, 1L << 33, 0),
        false,
        1);
  }

  /**
   * Changes the capacity twice within one interval, then advances the clock by an interval. The
   * first change is reported to both entries at once, so the second one must wait until the
   * interval has passed.
   */
  private void changeCapacityTwiceInOneInterval(int last) {
    loop.runLater(
        () -> {
          clock.addAndGet(MIN_INTERVAL_NANOS);
          side.heartbeat(heartbeat(1_000));
          // Runs after the task, scheduled by the heartbeat, that sends the reports.
          loop.runLater(
              () -> {
                side.heartbeat(heartbeat(last));
                loop.runLater(() -> clock.addAndGet(MIN_INTERVAL_NANOS));
              });
        });
  }

  /** Returns whether a non-periodic report matches before the limit of periodic ones is reached. */
  private static boolean isReportedBetweenPeriodicReports(
      ScriptedEntry entry, Predicate<VmReport> matches) throws InterruptedException {
    int periodic = 0;
    while (periodic < PERIODIC_REPORTS) {
      VmReport report = entry.awaitReport();
      if (report.getWantsLease()) {
        periodic++;
      } else if (matches.test(report)) {
        return true;
      }
    }
    return false;
  }

  /**
   * A run ends right after a report was sent to an entry that does not own it. The freed resources
   * must be reported to that entry once the minimum interval has passed. If it learned of them only
   * from the next periodic report, its waiting tasks would be delayed for most of a second while
   * the VM is idle.
   */
  @Test
  void nonOwnerIsReportedFreeResourcesAfterTheMinimumInterval() throws Exception {
    start();
    int afterInterval = 0;
    for (int i = 1; i <= ROUNDS; i++) {
      awaitPeriodicReport(nonOwner);
      int capacity = 1_000 + i;
      changeCapacityTwiceInOneInterval(capacity);
      VmReport report = nonOwner.awaitReport();
      while (report.getMilliProcessors() != capacity) {
        report = nonOwner.awaitReport();
      }
      if (!report.getWantsLease()) {
        afterInterval++;
      }
    }
    // A periodic report, or another change of the VM, may report a change before the interval ends.
    assertTrue(afterInterval > ROUNDS / 2, afterInterval + " change reports of " + ROUNDS);
  }

  private static void awaitPeriodicReport(ScriptedEntry entry) throws InterruptedException {
    while (!entry.awaitReport().getWantsLease()) {
      // Keeps waiting.
    }
  }

  /**
   * An entry starts a task on a VM right after it received a report from it. If the owner had to
   * wait for the minimum interval like other entries, it would learn of the start, and of the end
   * of a short task, after a delay that grows with the number of entries. Dependent tasks would be
   * delayed as well.
   */
  @Test
  void ownerIsReportedItsRunWithoutWaiting() throws Exception {
    start();
    VmReport report = owner.awaitReport();
    while (!report.getWorker().equals(WORKER)) {
      report = owner.awaitReport();
    }
    LeaseGrant lease =
        LeaseGrant.newBuilder()
            .setWorkerClock(report.getWorkerClock())
            .addEvidence(PartitionEvidence.newBuilder().setPartition(OWNED).setEpoch(1))
            .build();
    StartRun start =
        StartRun.newBuilder()
            .setTask(WorkflowIdCodec.encode(RUN))
            .setProgram("program")
            .setMilliProcessors(500)
            .build();
    owner.send(
        ownerLink,
        Frame.newBuilder()
            .setRunOrders(
                RunOrders.newBuilder()
                    .setNumber(1)
                    .setWorker(WORKER)
                    .setLease(lease)
                    .addStarts(start))
            .build());
    assertTrue(
        isReportedBetweenPeriodicReports(
            owner, change -> change.getRunsList().stream().anyMatch(run -> run.getStarted())),
        "the start is reported by periodic reports only");
  }

  /**
   * Guards against an owner that waits for the next periodic report to learn that a worker is gone:
   * an empty frame for another incarnation is answered at once, by a report that counts it.
   */
  @Test
  void frameForAnotherIncarnationIsAnsweredAtOnce() throws InterruptedException {
    start();
    long number = 41;
    RunOrders question =
        RunOrders.newBuilder()
            .setNumber(number)
            .setWorker("worker-0")
            .setLease(LeaseGrant.getDefaultInstance())
            .build();
    owner.send(ownerLink, Frame.newBuilder().setRunOrders(question).build());
    VmReport answer = owner.awaitReport();
    while (answer.getOrdersSeen() < number) {
      answer = owner.awaitReport();
    }
    assertEquals(WORKER, answer.getWorker());
    assertFalse(answer.getWantsLease(), "the report is periodic");
  }

  /**
   * Guards against an entry that is not known as the owner yet and hears of a new incarnation
   * without the run that it executes: it would take the run for lost and order the next attempt.
   */
  @Test
  void runFoundOnAnIncarnationWithABirthIsReportedToAllEntries() throws Exception {
    worker.crash("worker@17");
    worker.start("worker@17", new StartOrder(RUN, "", Long.MAX_VALUE / 2, "", "")).join();
    start();
    VmReport report = nonOwner.awaitReport();
    while (report.getWorker().isEmpty()) {
      report = nonOwner.awaitReport();
    }
    assertEquals(List.of(RUN), tasksOf(report));
  }

  private static List<RunKey> tasksOf(VmReport report) {
    return report.getRunsList().stream().map(run -> WorkflowIdCodec.decode(run.getTask())).toList();
  }
}
