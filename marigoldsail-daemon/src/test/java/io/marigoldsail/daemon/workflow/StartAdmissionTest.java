package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.Overcommit;
import io.marigoldsail.workflow.ResourceLedger;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the final admission check for runs on a VM. */
class StartAdmissionTest {
  private static final int PARTITION = 3;
  private static final RunKey FIRST = new RunKey(TestIds.task(1, 0, 0, 0), 1);
  private static final RunKey SECOND = new RunKey(TestIds.task(1, 0, 0, 1), 1);
  private static final RunKey OTHER = new RunKey(TestIds.task(7, 0, 0, 9), 1);
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final long WORKER_CLOCK = 100_000;

  private final LinkLoop loop = new LinkLoop("side", MonotonicClock.system());
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final WorkerLease lease = new WorkerLease(loop, TERMS, WORKER_CLOCK);
  private final Overcommit overcommit = new Overcommit();
  private final ResourceLedger resources = new ResourceLedger(overcommit);
  private final StartAdmission admission =
      new StartAdmission(
          lease,
          resources,
          new RunThrottler(
              loop,
              new FakeWorkerGateway("worker-1", timer, new RunHistory(), 1_000),
              "worker-1",
              overcommit,
              InterferenceScope.PER_IMAGE));

  @BeforeEach
  void setUp() {
    resources.capacity(new Sizes(1_000, 1L << 30, 0));
    lease.recordEvidence(PARTITION, 1, WORKER_CLOCK);
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
    loop.close();
  }

  private static StartRun order(int milliProcessors) {
    return StartRun.newBuilder().setMilliProcessors(milliProcessors).setMemoryMebibytes(1).build();
  }

  private Optional<String> reserveOrRefuse(RunKey key, int milliProcessors, boolean draining) {
    return admission.reserveOrRefuse(key, PARTITION, order(milliProcessors), draining, List.of());
  }

  /**
   * A worker starts to drain while an order from an entry that does not know it yet is in transit.
   * The run would end with the worker shortly after its start.
   */
  @Test
  void drainingWorkerIsRefusedNewRuns() {
    assertEquals(Optional.of("the worker is draining"), reserveOrRefuse(FIRST, 500, true));
    assertEquals(Optional.empty(), reserveOrRefuse(FIRST, 500, false));
  }

  /** Two owners see free capacity for one more run and send orders at once: one is refused. */
  @Test
  void secondOfTwoOwnersIsRefusedWhenResourcesAreInsufficient() {
    assertEquals(Optional.empty(), reserveOrRefuse(FIRST, 600, false));
    assertEquals(Optional.of("insufficient capacity"), reserveOrRefuse(SECOND, 600, false));
  }

  /** An order arrives for a partition without any ownership evidence. */
  @Test
  void ownerWithoutEvidenceIsRefused() {
    assertEquals(
        Optional.of("the ownership evidence for the partition is missing or too old"),
        admission.reserveOrRefuse(FIRST, PARTITION + 1, order(1), false, List.of()));
  }

  /**
   * A restarted side process finds a run whose resource sizes only its owner knows, so that it
   * cannot reserve resources for it yet.
   */
  @Test
  void refusesStartsWhileTheSizeOfARunIsUnknown() {
    SideRun found = new SideRun(SECOND, PARTITION, Optional.empty(), new WorkerLease.Mark(0, 0));
    assertEquals(
        Optional.of("the resource sizes of some runs on the worker are not known yet"),
        admission.reserveOrRefuse(FIRST, PARTITION, order(1), false, List.of(found)));
  }

  /**
   * Two owners see room for one more best-effort run beside a service: the second start is refused
   * before the first one is measured. A start that is refused for its memory takes no room.
   */
  @Test
  void startsOfBestEffortRunsTakeRoomBesideServices() {
    resources.capacity(new Sizes(16_000, 1L << 30, 0));
    RunThrottler pairs =
        new RunThrottler(
            loop,
            new FakeWorkerGateway("worker-1", timer, new RunHistory(), 1_000),
            "worker-1",
            overcommit,
            InterferenceScope.PER_PAIR);
    StartAdmission byPairs = new StartAdmission(lease, resources, pairs);
    StartRun service = order(100).toBuilder().setLatencyTargetMillis(50).setImage("s").build();
    SideRun serving =
        new SideRun(OTHER, PARTITION, Optional.of(service), new WorkerLease.Mark(0, 0));
    serving.applyListing("", 100, 40);
    List<SideRun> runs = List.of(serving);
    assertFalse(pairs.observe(runs, resources.capacity().milliProcessors()));
    StartRun small = order(1_000).toBuilder().setFills(true).setImage("batch").build();
    StartRun tooLarge = small.toBuilder().setMemoryMebibytes(1 << 20).build();
    assertEquals(
        Optional.of("insufficient capacity"),
        byPairs.reserveOrRefuse(FIRST, PARTITION, tooLarge, false, runs));
    assertEquals(Optional.empty(), byPairs.reserveOrRefuse(FIRST, PARTITION, small, false, runs));
    assertEquals(
        Optional.of("there is no room for best-effort tasks beside the service tasks"),
        byPairs.reserveOrRefuse(SECOND, PARTITION, small, false, runs));
  }
}
