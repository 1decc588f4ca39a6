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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the reports of a side process to an entry that owns none of the runs on the VM. */
class SideReportsTest {
  private static final int TASKS = 120;
  private static final int ROUNDS = 6;

  /** Minimum interval of change reports to an entry that owns no runs, in nanoseconds. */
  private static final long CHANGE_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Interval of the periodic reports of a side process, in nanoseconds. */
  private static final long PERIODIC_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private final WorkflowTestCluster cluster = new WorkflowTestCluster();
  private final LinkLoop loop = new LinkLoop("non-owner", MonotonicClock.system());
  private final AtomicInteger reports = new AtomicInteger();
  private final AtomicInteger redundantReports = new AtomicInteger();
  private LinkServer server;
  private String nonOwner;

  @BeforeEach
  void start() throws IOException {
    cluster.addEntry();
    cluster.addSide("vm-0", 5);
    cluster.awaitReady();
    server = new LinkServer(loop, new InetSocketAddress("127.0.0.1", 0), 10, new ReportCounter());
    server.start();
    nonOwner = new EntryMember("127.0.0.1", server.port(), 1).toString();
    cluster.store().join(nonOwner, Long.MAX_VALUE);
    cluster.await(
        "the second entry owns half of the partitions",
        () -> partitionsOfNonOwner() == WorkflowTestCluster.PARTITIONS / 2);
    cluster.await("the side process reports to the second entry", () -> reports.get() > 0);
  }

  @AfterEach
  void stop() {
    if (server != null) {
      server.close();
    }
    loop.close();
    cluster.close();
  }

  private long partitionsOfNonOwner() {
    return LongStream.range(0, WorkflowTestCluster.PARTITIONS)
        .filter(partition -> nonOwner.equals(owner((int) partition)))
        .count();
  }

  private String owner(int partition) {
    WorkflowStore.Owners owners =
        assertInstanceOf(WorkflowStore.Owners.class, cluster.store().owners().join());
    return owners.byPartition().getOrDefault(partition, "");
  }

  private long workflowIdOfOtherEntry(long from) {
    return LongStream.iterate(from, id -> id + 1)
        .filter(
            id -> !nonOwner.equals(owner(TestIds.id(id).partition(WorkflowTestCluster.PARTITIONS))))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Guards against reports of every start and end to entries that do not own the run: they saturate
   * an entry's low-bandwidth link and delay long-running tasks and new configuration by seconds.
   * The rate of reports to such an entry is bounded, however many tasks start and end.
   */
  @Test
  void reportRateToANonOwnerIsBounded() {
    long id = workflowIdOfOtherEntry(1);
    int before = reports.get();
    long began = System.nanoTime();
    assertInstanceOf(
        WorkflowStore.Appended.class,
        cluster.entry(0).entry().submit(WorkflowTestCluster.workflow(id, TASKS)).join());
    cluster.await("all tasks are done", () -> cluster.status(0, id) == QueryResult.DONE);
    long lasted = System.nanoTime() - began;
    int received = reports.get() - before;
    // Two more reports may fall on the boundaries of the interval.
    long bound = lasted / CHANGE_REPORT_NANOS + lasted / PERIODIC_REPORT_NANOS + 2;
    assertTrue(received <= bound, received + " reports, " + bound + " at most");
  }

  /**
   * Guards against reports that repeat the state last reported to an entry. A run that is listed or
   * throttled changes nothing for entries that do not own it, and in large fleets such redundant
   * reports took most of the entries' processor time.
   */
  @Test
  void nonOwnerGetsNoReportOfAnUnchangedState() {
    long id = 0;
    for (int i = 0; i < ROUNDS; i++) {
      id = workflowIdOfOtherEntry(id + 1);
      long submitted = id;
      assertInstanceOf(
          WorkflowStore.Appended.class,
          cluster.entry(0).entry().submit(WorkflowTestCluster.workflow(id, TASKS)).join());
      cluster.await("all tasks are done", () -> cluster.status(0, submitted) == QueryResult.DONE);
    }
    assertEquals(0, redundantReports.get(), "change reports without a change");
  }

  private final class ReportCounter implements LinkListener {
    private VmReport last = VmReport.getDefaultInstance();

    @Override
    public void opened(LinkConnection connection) {
      // Sends nothing.
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

    /** Returns the report without the fields that vary by time or connection. */
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
      // Closed at the end of the test.
    }
  }
}
