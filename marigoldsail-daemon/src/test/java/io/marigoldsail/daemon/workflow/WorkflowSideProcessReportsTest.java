package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowIds;
import java.io.IOException;
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
 * When a side process reports changes to two entries.
 *
 * <p>The clock by which turns are counted stands still but where a test moves it, so nobody's turn
 * comes by itself. A regular report asks for a lease and one of a change does not, which tells them
 * apart.
 */
@Timeout(40)
class WorkflowSideProcessReportsTest {
  private static final int PARTITIONS = 2;
  private static final int ENTRIES = 2;

  /** After which an entry that owns nothing on the VM must hear of a change, in nanoseconds. */
  private static final long MIN_INTERVAL_NANOS = ENTRIES * TimeUnit.MILLISECONDS.toNanos(25);

  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final String WORKER = "life-1";
  private static final RunKey RUN = new RunKey(new TaskKey(7, 0, 0, 0), 1);
  private static final int OWNED = WorkflowIds.partition(RUN.task().workflow(), PARTITIONS);

  private static final int ROUNDS = 7;

  /** How many regular reports an entry hears before a change counts as told by none of its own. */
  private static final int PERIODIC_REPORTS = 5;

  private final AtomicLong clock = new AtomicLong();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final LinkLoop loop = new LinkLoop("side", clock::get);
  private final ScriptedOwnersStore store = new ScriptedOwnersStore(PARTITIONS);
  private final FakeWorkerGateway worker =
      new FakeWorkerGateway(WORKER, timer, new RunHistory(), 60_000);
  private final WorkflowSideProcess side =
      new WorkflowSideProcess(loop, store, worker, "vm-0", TERMS);
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
    assertTrue(side.heartbeat(heartbeat(1_000)).join());
  }

  @AfterEach
  void stop() {
    loop.close();
    owner.close();
    nonOwner.close();
    timer.shutdownNow();
  }

  private static WorkerHeartbeat heartbeat(int milliProcessors) {
    return new WorkerHeartbeat(
        WORKER,
        "service",
        "zone",
        ImmutableList.of(),
        "",
        new Sizes(milliProcessors, 1L << 33, 0),
        false,
        1);
  }

  /**
   * Has the room change twice in one turn of both entries; then the next turn of each comes. Both
   * are told of the first change at once, so the second one has to wait for its turn.
   */
  private void changeCapacityTwiceInOneInterval(int last) {
    loop.runLater(
        () -> {
          clock.addAndGet(MIN_INTERVAL_NANOS);
          side.heartbeat(heartbeat(1_000));
          // Reports are sent by what the heartbeat has put before this.
          loop.runLater(
              () -> {
                side.heartbeat(heartbeat(last));
                loop.runLater(() -> clock.addAndGet(MIN_INTERVAL_NANOS));
              });
        });
  }

  /** Returns whether a report of a change tells it, before some regular ones went by. */
  private static boolean isReportedBetweenPeriodicReports(
      ScriptedEntry entry, Predicate<VmReport> tells) throws InterruptedException {
    int regular = 0;
    while (regular < PERIODIC_REPORTS) {
      VmReport report = entry.awaitReport();
      if (report.getWantsLease()) {
        regular++;
      } else if (tells.test(report)) {
        return true;
      }
    }
    return false;
  }

  /**
   * A task of one entry ended on a VM right after another entry had heard of that VM. Its turn
   * came, but nobody told it of the room that was left, and it learned it from the regular report
   * most of a second later. Its waiting tasks stood still for as long beside an empty VM.
   */
  @Test
  void nonOwnerIsReportedFreeResourcesAfterTheMinimumInterval() throws Exception {
    start();
    int inTurn = 0;
    for (int i = 1; i <= ROUNDS; i++) {
      awaitPeriodicReport(nonOwner);
      int capacity = 1_000 + i;
      changeCapacityTwiceInOneInterval(capacity);
      VmReport report = nonOwner.awaitReport();
      while (report.getMilliProcessors() != capacity) {
        report = nonOwner.awaitReport();
      }
      if (!report.getWantsLease()) {
        inTurn++;
      }
    }
    // A regular report, or another change of the VM, may tell one of them before its turn comes.
    assertTrue(inTurn > ROUNDS / 2, "told in turn " + inTurn + " times of " + ROUNDS);
  }

  private static void awaitPeriodicReport(ScriptedEntry entry) throws InterruptedException {
    while (!entry.awaitReport().getWantsLease()) {
      // The next one is.
    }
  }

  /**
   * An entry had a task started on a VM of which it had just heard. If it waited for its turn like
   * all others it would hear of the start, and of the end of a short task, only after a time that
   * grows with the number of entries, and so would whatever waits for that task.
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
            .setTask(WorkflowCodec.encode(RUN))
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
            owner, told -> told.getRunsList().stream().anyMatch(run -> run.getStarted())),
        "the start is told by regular reports only");
  }
}
