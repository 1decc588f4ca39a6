package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.FakeLinks;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The scheduling of an entry that owns the only partition, on virtual time, with VMs that the test
 * controls. One thread.
 */
final class VirtualEntry {
  private static final String HOST = "127.0.0.1";
  private static final long SETTLED_MILLIS = 500;
  private static final long SWEEP_INTERVAL_MILLIS = 200;
  private static final int VM_MILLI_PROCESSORS = 4_000;
  private static final int VM_MEBIBYTES = 8_192;

  /** A VM that reports to the entry while it is connected. */
  final class Vm {
    private final String name;
    private final String service;
    private final List<StartRun> starts = new ArrayList<>();
    private final List<RunKey> stopped = new ArrayList<>();
    private final List<RunOrders> orders = new ArrayList<>();
    private long ordersSeen;
    private Optional<LinkConnection> link = Optional.empty();

    private Vm(String name, String service) {
      this.name = name;
      this.service = service;
    }

    /** Reports the runs as started and the ends, with all capacity free. */
    void report(List<RunKey> running, EndReport... ends) {
      report(VM_MILLI_PROCESSORS, running, List.of(ends));
    }

    /** Reports the runs as started and the ends. */
    void report(int freeMilliProcessors, List<RunKey> running, List<EndReport> ends) {
      VmReport.Builder report = idle().setFreeMilliProcessors(freeMilliProcessors).addAllEnds(ends);
      for (RunKey run : running) {
        report.addRuns(
            RunReport.newBuilder().setTask(WorkflowIdCodec.encode(run)).setStarted(true));
      }
      send(report);
    }

    /** Returns a report of the VM without runs and ends. */
    VmReport.Builder idle() {
      return VmReport.newBuilder()
          .setVm(name)
          .setWorker("incarnation-1-" + name)
          .setService(service)
          .setMilliProcessors(VM_MILLI_PROCESSORS)
          .setMemoryMebibytes(VM_MEBIBYTES)
          .setFreeMilliProcessors(VM_MILLI_PROCESSORS)
          .setFreeMemoryMebibytes(VM_MEBIBYTES)
          .setWantsLease(true);
    }

    /** Sends a report, on a new connection if there is none. */
    void send(VmReport.Builder report) {
      if (link.isEmpty()) {
        link = Optional.of(FakeLinks.sendingTo(this::receive, time.loop()));
      }
      vms.handleReport(link.get(), report.setOrdersSeen(ordersSeen).build());
    }

    private void receive(Frame frame) {
      if (frame.hasRunOrders()) {
        ordersSeen = frame.getRunOrders().getNumber();
        starts.addAll(frame.getRunOrders().getStartsList());
        frame
            .getRunOrders()
            .getStopsList()
            .forEach(run -> stopped.add(WorkflowIdCodec.decode(run)));
        orders.add(frame.getRunOrders());
      }
    }

    /** Returns the frames of orders received since the last call. */
    List<RunOrders> takeOrders() {
      List<RunOrders> taken = List.copyOf(orders);
      orders.clear();
      return taken;
    }

    String name() {
      return name;
    }

    boolean isConnected() {
      return link.isPresent();
    }

    /** Returns the runs that the entry has ordered here. */
    List<RunKey> ordered() {
      return starts.stream().map(start -> WorkflowIdCodec.decode(start.getTask())).toList();
    }

    /** Returns the runs that the entry has told to stop here, each as often as it was. */
    List<RunKey> stopped() {
      return List.copyOf(stopped);
    }

    /** Returns the tickets of the runs that the entry has ordered here. */
    List<String> tickets() {
      return starts.stream().map(StartRun::getTicket).toList();
    }

    /** Ends the connection, as an interruption does; frames that were not taken are lost. */
    void disconnect() {
      vms.disconnected(link.orElseThrow(), "interrupted by the test");
      link = Optional.empty();
      ordersSeen = 0;
      orders.clear();
    }
  }

  private final VirtualLoop time;
  private final FakeWorkflowStore store;
  private final RefusingStore calls;
  private final int port;
  private final FakeAdviser adviser = new FakeAdviser();
  private final PartitionOwnership ownership;
  private final VmTracker vms;
  private final EntryScheduler scheduler;
  private QueueTable configuration;

  /** Starts the entry and waits until it owns the partition. */
  VirtualEntry(WorkerLeaseTerms terms, QueueTable configuration) {
    this(terms, configuration, new VirtualLoop());
  }

  private VirtualEntry(WorkerLeaseTerms terms, QueueTable configuration, VirtualLoop time) {
    this(terms, configuration, time, new FakeWorkflowStore(1, time.timer()), 1);
  }

  private VirtualEntry(
      WorkerLeaseTerms terms,
      QueueTable configuration,
      VirtualLoop time,
      FakeWorkflowStore store,
      int port) {
    this.time = time;
    this.store = store;
    this.calls = new RefusingStore(store);
    this.port = port;
    this.configuration = configuration;
    this.ownership =
        new PartitionOwnership(
            calls,
            time.loop(),
            time::wallMillis,
            new EntryMember(HOST, port, 1),
            new OwnershipListener());
    this.vms = new VmTracker(time.loop(), ownership, terms, time::wallMillis, new VmListener());
    this.scheduler =
        new EntryScheduler(
            time.loop(),
            time::wallMillis,
            ownership,
            vms,
            VmChooser.of(1.5),
            adviser,
            () -> Optional.of(this.configuration));
    time.loop().repeat(this::sweep, SWEEP_INTERVAL_MILLIS * 1_000_000);
    ownership.start();
    time.advance(SETTLED_MILLIS);
  }

  /** Starts an entry that takes the partition over from this one, and waits until it owns it. */
  VirtualEntry successor(WorkerLeaseTerms terms) {
    VirtualEntry next = new VirtualEntry(terms, configuration, time, store, port + 1);
    store.reassign(List.of(HOST + ":" + next.port));
    time.advance(2 * SETTLED_MILLIS);
    return next;
  }

  private void sweep() {
    vms.closeExpiredRuns();
    scheduler.moveRuns();
    scheduler.schedulePass();
  }

  /** Adds a VM that is not connected yet. */
  Vm addVm(String name, String service) {
    return new Vm(name, service);
  }

  void advance(long millis) {
    time.advance(millis);
  }

  long millis() {
    return time.millis();
  }

  /** Throws the first exception that a task of the loop has thrown since the last call, if any. */
  void rethrowFailure() {
    time.rethrowFailure();
  }

  FakeAdviser adviser() {
    return adviser;
  }

  /** Puts a configuration in force. */
  void configure(QueueTable newest) {
    configuration = newest;
    scheduler.schedulePass();
  }

  /** Submits a workflow and waits until the entry has read it. */
  Workflow submit(WorkflowSpec spec) {
    KeyedRecord submission = new KeyedRecord(spec.id().toString(), WorkflowCodec.encode(spec));
    store.append(Topic.SUBMISSIONS, 0, List.of(submission), Optional.empty());
    time.advance(SWEEP_INTERVAL_MILLIS);
    return workflow(TestIds.number(spec.id()));
  }

  /** Lets the store refuse to read records to this entry from now on. */
  void refuseReads() {
    calls.refuseReads();
  }

  /** Lets the store refuse all calls of this entry from now on. */
  void refuseCalls() {
    calls.setRefusing(true);
  }

  /** Returns whether the entry has read all recent submissions. */
  boolean isCaughtUp() {
    return ownership.active(0).orElseThrow().isCaughtUp();
  }

  /** Cancels the workflow, as an entry does for a caller. */
  void cancel(Workflow workflow) {
    OwnedPartition partition = ownership.active(0).orElseThrow();
    workflow.cancel(time.wallMillis());
    partition.persist(workflow);
    partition.writer().afterDurable(() -> vms.stopUnwanted(workflow));
  }

  Workflow workflow(long id) {
    return ownership.active(0).orElseThrow().workflow(TestIds.id(id)).orElseThrow();
  }

  /** Tracks the runs of the partition while it is owned, as an entry does. */
  private final class OwnershipListener extends NoOpOwnershipListener {
    @Override
    public void activated(OwnedPartition partition) {
      vms.partitionActivated(partition);
      scheduler.schedulePass();
    }

    @Override
    public void lost(OwnedPartition partition) {
      vms.partitionLost(partition);
    }
  }

  /** Passes the ends of runs to the scheduler, as an entry does. */
  private final class VmListener implements VmTracker.Listener {
    @Override
    public void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome) {
      scheduler.runEnded(task, outcome);
    }

    @Override
    public void capacityChanged() {
      scheduler.capacityChanged();
    }

    @Override
    public boolean mayOrder() {
      return true;
    }
  }
}
