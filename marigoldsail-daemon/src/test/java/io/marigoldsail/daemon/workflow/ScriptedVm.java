package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkListener;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.OwnerMap;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/** A side process that a test controls: it sends reports and collects orders. Thread-safe. */
final class ScriptedVm implements LinkListener {
  static final String WORKER = "incarnation-1";

  private final LinkLoop loop;
  private final String vm;
  private final String zone;
  private final CompletableFuture<LinkConnection> opened = new CompletableFuture<>();
  private final List<RunOrders> orders = new ArrayList<>();
  private final List<OwnerMap> ownerMaps = new ArrayList<>();
  private volatile boolean readsTextIds;

  /** Dials the entry with the given {@code host:port} address, as the VM of the name. */
  ScriptedVm(LinkLoop loop, String entry, String vm) {
    this(loop, entry, vm, "");
  }

  /** Dials the entry as the VM of the name in the availability zone. */
  ScriptedVm(LinkLoop loop, String entry, String vm, String zone) {
    this.loop = loop;
    this.vm = vm;
    this.zone = zone;
    int colon = entry.indexOf(':');
    InetSocketAddress address =
        new InetSocketAddress(
            entry.substring(0, colon), Integer.parseInt(entry.substring(colon + 1)));
    loop.dial(address, this, opened::completeExceptionally);
  }

  /** Tells in its reports from now on that it reads workflow ids as texts. */
  void readTextIds() {
    readsTextIds = true;
  }

  /** Reports an idle VM with the given ends, and requests a lease. */
  void report(EndReport... ends) {
    send(VmReport.newBuilder().setWorker(WORKER).addAllEnds(List.of(ends)));
  }

  /** Reports an idle VM that uses the owners, and requests a lease. */
  void reportOwners(Map<Integer, String> owners) {
    send(
        VmReport.newBuilder()
            .setWorker(WORKER)
            .setOwnersDigest(OwnerMapCodec.legacyDigest(owners))
            .setOwnersFingerprint(OwnerMapCodec.fingerprint(owners)));
  }

  /** Reports an idle VM that uses the owners, as a side process without fingerprints does. */
  void reportOwnersByDigest(Map<Integer, String> owners) {
    send(
        VmReport.newBuilder()
            .setWorker(WORKER)
            .setOwnersDigest(OwnerMapCodec.legacyDigest(owners)));
  }

  /** Reports that the worker is gone, so that the entry considers its runs as lost. */
  void reportWorkerGone() {
    send(VmReport.newBuilder().setGoneWorker(WORKER));
  }

  private void send(VmReport.Builder state) {
    VmReport report =
        state
            .setVm(vm)
            .setZone(zone)
            .setService("service")
            .setWantsLease(true)
            .setReadsTextIds(readsTextIds)
            .setMilliProcessors(4_000)
            .setMemoryMebibytes(8_192)
            .setFreeMilliProcessors(4_000)
            .setFreeMemoryMebibytes(8_192)
            .setOrdersSeen(received().mapToLong(RunOrders::getNumber).max().orElse(0))
            .build();
    LinkConnection connection = opened.join();
    loop.run(() -> connection.send(Frame.newBuilder().setVmReport(report).build()));
  }

  static EndReport end(RunKey run, RunOutcome outcome) {
    return EndReport.newBuilder()
        .setTask(WorkflowIdCodec.encode(run))
        .setOutcome(outcome.number())
        .setSequence(1)
        .build();
  }

  void close() {
    LinkConnection connection = opened.join();
    loop.run(() -> connection.close("closed by the test"));
  }

  private synchronized Stream<RunOrders> received() {
    return List.copyOf(orders).stream();
  }

  synchronized List<OwnerMap> ownerMaps() {
    return List.copyOf(ownerMaps);
  }

  /** Returns the number of frames with a lease that the entry has sent. */
  long leases() {
    return received().filter(RunOrders::hasLease).count();
  }

  List<StartRun> starts() {
    return received().flatMap(each -> each.getStartsList().stream()).toList();
  }

  /** Returns the runs whose ends the entry has acknowledged. */
  List<RunKey> acknowledged() {
    return received()
        .flatMap(each -> each.getNotedEndsList().stream())
        .map(WorkflowIdCodec::decode)
        .toList();
  }

  /** Returns the runs whose ends the entry has called superseded. */
  List<RunKey> superseded() {
    return received()
        .flatMap(each -> each.getSupersededEndsList().stream())
        .map(WorkflowIdCodec::decode)
        .toList();
  }

  @Override
  public void opened(LinkConnection connection) {
    opened.complete(connection);
  }

  @Override
  public synchronized void received(LinkConnection connection, Frame frame) {
    if (frame.hasRunOrders()) {
      orders.add(frame.getRunOrders());
    } else if (frame.hasOwnerMap()) {
      ownerMaps.add(frame.getOwnerMap());
    }
  }

  @Override
  public void closed(LinkConnection connection, String reason) {}
}
