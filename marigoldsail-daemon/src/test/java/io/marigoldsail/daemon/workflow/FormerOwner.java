package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.LinkServer;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.RunKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * An entry that took itself for an owner before others were: side processes dial it, and it orders
 * under an epoch lower than any. Safe for any thread.
 */
final class FormerOwner implements LinkListener, AutoCloseable {
  private static final long FIRST_EPOCH = 1;
  private static final int MAX_LINKS = 10;

  private final LinkLoop loop = new LinkLoop("former-owner", MonotonicClock.system());
  private final LinkServer server =
      new LinkServer(loop, new InetSocketAddress("127.0.0.1", 0), MAX_LINKS, this);
  private LinkConnection side;
  private VmReport report = VmReport.getDefaultInstance();

  void start() throws IOException {
    server.start();
  }

  /** Returns the name by which side processes find it. */
  String member() {
    return new EntryMember("127.0.0.1", server.port(), 1).toString();
  }

  synchronized Optional<VmReport> report() {
    return side == null || report.getVm().isEmpty() ? Optional.empty() : Optional.of(report);
  }

  /** Orders to stop the run, as the owner of its partition would. */
  void stop(RunKey run, int partition) {
    order(partition, RunOrders.newBuilder().addStops(WorkflowCodec.encode(run)));
  }

  /** Says that the run's end is durable, as the owner of its partition would. */
  void acknowledge(RunKey run, int partition) {
    order(partition, RunOrders.newBuilder().addNotedEnds(WorkflowCodec.encode(run)));
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
    LinkConnection to = side;
    loop.run(() -> to.send(Frame.newBuilder().setRunOrders(orders).build()));
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
