package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.LinkServer;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.WorkflowIds;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a side process sends to an entry that none of its runs belongs to. */
class SideReportsTest {
  private static final int TASKS = 120;
  private static final int ROUNDS = 6;

  /** Between two reports of room to an entry that owns nothing here, at the least. */
  private static final long CHANGE_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Reports that a side process sends of its own accord, whatever changes, in nanoseconds. */
  private static final long PERIODIC_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private final WorkflowTestCluster world = new WorkflowTestCluster();
  private final LinkLoop loop = new LinkLoop("bystander", MonotonicClock.system());
  private final AtomicInteger reports = new AtomicInteger();
  private final AtomicInteger redundantReports = new AtomicInteger();
  private LinkServer server;
  private String nonOwner;

  @BeforeEach
  void start() throws IOException {
    world.addEntry();
    world.addSide("vm-0", 5);
    world.awaitReady();
    server = new LinkServer(loop, new InetSocketAddress("127.0.0.1", 0), 10, new ReportCounter());
    server.start();
    nonOwner = new EntryMember("127.0.0.1", server.port(), 1).toString();
    world.store().join(nonOwner, Long.MAX_VALUE);
    world.await(
        "the bystander owns a part",
        () -> partitionsOfNonOwner() == WorkflowTestCluster.PARTITIONS / 2);
    world.await("the side process reaches it", () -> reports.get() > 0);
  }

  @AfterEach
  void stop() {
    if (server != null) {
      server.close();
    }
    loop.close();
    world.close();
  }

  private long partitionsOfNonOwner() {
    return LongStream.range(0, WorkflowTestCluster.PARTITIONS)
        .filter(partition -> nonOwner.equals(owner((int) partition)))
        .count();
  }

  private String owner(int partition) {
    WorkflowStore.Owners owners =
        assertInstanceOf(WorkflowStore.Owners.class, world.store().owners().join());
    return owners.byPartition().getOrDefault(partition, "");
  }

  private long workflowIdOfOtherEntry(long from) {
    return LongStream.iterate(from, id -> id + 1)
        .filter(
            id ->
                !nonOwner.equals(owner(WorkflowIds.partition(id, WorkflowTestCluster.PARTITIONS))))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Lasting tasks and new configuration came seconds late, and only where entries had thin links.
   * Each start and end on any VM was reported to every entry at once, also to those that had
   * nothing to do with it, and such a link was full of these reports. An entry that owns none of
   * what runs must hear of room at a bounded pace, however many tasks begin and end.
   */
  @Test
  void reportRateToANonOwnerIsBounded() {
    long id = workflowIdOfOtherEntry(1);
    int before = reports.get();
    long began = System.nanoTime();
    assertInstanceOf(
        WorkflowStore.Appended.class,
        world.entry(0).entry().submit(WorkflowTestCluster.workflow(id, TASKS)).join());
    world.await("all are done", () -> world.status(0, id) == QueryResult.DONE);
    long lasted = System.nanoTime() - began;
    int heard = reports.get() - before;
    // Two reports may cross the ends.
    long bound = lasted / CHANGE_REPORT_NANOS + lasted / PERIODIC_REPORT_NANOS + 2;
    assertTrue(heard <= bound, heard + " reports, " + bound + " at most");
  }

  /**
   * Most of what entries read were reports that said of a VM what they had been told last, since a
   * run that was listed or paced changed nothing for them: reading these took the processor time of
   * large fleets.
   */
  @Test
  void nonOwnerGetsNoReportOfAnUnchangedState() {
    long id = 0;
    for (int i = 0; i < ROUNDS; i++) {
      id = workflowIdOfOtherEntry(id + 1);
      long submitted = id;
      assertInstanceOf(
          WorkflowStore.Appended.class,
          world.entry(0).entry().submit(WorkflowTestCluster.workflow(id, TASKS)).join());
      world.await("all are done", () -> world.status(0, submitted) == QueryResult.DONE);
    }
    assertEquals(0, redundantReports.get(), "reports of changes that told none");
  }

  private final class ReportCounter implements LinkListener {
    private VmReport last = VmReport.getDefaultInstance();

    @Override
    public void opened(LinkConnection connection) {
      // Has nothing to say.
    }

    @Override
    public void received(LinkConnection connection, Frame frame) {
      if (frame.hasVmReport()) {
        reports.incrementAndGet();
        VmReport state = state(frame.getVmReport());
        if (!frame.getVmReport().getWantsLease() && state.equals(last)) {
          redundantReports.incrementAndGet();
        }
        last = state;
      }
    }

    /** Returns what the report says of the VM, without what belongs to the moment or the link. */
    private VmReport state(VmReport report) {
      return report.toBuilder()
          .clearWorkerClock()
          .clearOrdersSeen()
          .clearOwnersDigest()
          .clearWantsLease()
          .clearImages()
          .build();
    }

    @Override
    public void closed(LinkConnection connection, String reason) {
      // The test ends.
    }
  }
}
