package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.LinkServer;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.RunKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Simulates an entry that is a former owner of partitions: side processes dial it, and it sends
 * orders under an epoch lower than any other. Safe for any thread.
 */
final class FormerOwner implements LinkListener, AutoCloseable {
  private static final long FIRST_EPOCH = 1;
  private static final int MAX_LINKS = 10;

  /** Where a worker lists the first end of a run. */
  private static final long FIRST_END_SEQUENCE = 1;

  private final LinkLoop loop = new LinkLoop("former-owner", MonotonicClock.system());
  private final LinkServer server =
      new LinkServer(loop, new InetSocketAddress("127.0.0.1", 0), MAX_LINKS, this);
  private LinkConnection side;
  private VmReport report = VmReport.getDefaultInstance();

  void start() throws IOException {
    server.start();
  }

  /** Returns the member name by which side processes find it. */
  String member() {
    return new EntryMember("127.0.0.1", server.port(), 1).toString();
  }

  synchronized Optional<VmReport> report() {
    return side == null || report.getVm().isEmpty() ? Optional.empty() : Optional.of(report);
  }

  /** Sends a stop of the run, as the owner of its partition would. */
  void stop(RunKey run, int partition) {
    order(partition, RunOrders.newBuilder().addStops(WorkflowIdCodec.encode(run)));
  }

  /** Acknowledges the first end on the worker, of the run, as the owner of its partition would. */
  void acknowledge(RunKey run, int partition) {
    order(partition, RunOrders.newBuilder().addNotedEnds(firstEnd(run)));
  }

  /** Calls the first end on the worker, of the run, superseded. */
  void supersede(RunKey run, int partition) {
    order(partition, RunOrders.newBuilder().addSupersededEnds(firstEnd(run)));
  }

  private static WorkflowTaskId firstEnd(RunKey run) {
    return WorkflowIdCodec.encode(run).toBuilder().setEndSequence(FIRST_END_SEQUENCE).build();
  }

  private synchronized void order(int partition, RunOrders.Builder orders) {
    PartitionEvidence evidence =
        PartitionEvidence.newBuilder().setPartition(partition).setEpoch(FIRST_EPOCH).build();
    LeaseGrant lease =
        LeaseGrant.newBuilder()
            .setWorkerClock(report.getWorkerClock())
            .addEvidence(evidence)
            .build();
    orders.setNumber(1).setLease(lease).setWorker(report.getWorker());
    LinkConnection connection = side;
    loop.run(() -> connection.send(Frame.newBuilder().setRunOrders(orders).build()));
  }

  @Override
  public synchronized void opened(LinkConnection connection) {
    side = connection;
  }

  @Override
  public synchronized void received(LinkConnection connection, Frame frame) {
    if (frame.hasVmReport()) {
      report = frame.getVmReport();
    }
  }

  @Override
  public void closed(LinkConnection connection, String reason) {}

  @Override
  public void close() {
    server.close();
    loop.close();
  }
}
