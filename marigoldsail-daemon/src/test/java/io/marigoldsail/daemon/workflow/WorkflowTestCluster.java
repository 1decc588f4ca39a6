package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.AdviserTiming;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.Queue;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowSpec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Entries and side processes over real links, with a store and workers in memory. */
final class WorkflowTestCluster implements AutoCloseable {
  static final int PARTITIONS = 6;

  /** A service that a queue sends tasks to and that no VM runs. */
  static final String SERVICE_WITHOUT_VMS = "service-without-vms";

  private static final long LONGEST_LEASE_MILLIS = 4_000;
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);
  private static final long HEARTBEAT_INTERVAL_MILLIS = 150;

  /** An entry with what the test needs to take it down. */
  record RunningEntry(
      WorkflowEntry entry, LinkLoop loop, String memberPrefix, RefusingStore store) {}

  /** A side process with its worker. */
  record RunningSide(
      String vm, WorkflowSideProcess side, LinkLoop loop, FakeWorkerGateway worker) {}

  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final FakeWorkflowStore store = new FakeWorkflowStore(PARTITIONS, timer);
  private final RunHistory history = new RunHistory();
  private final FakeAdviser adviser = new FakeAdviser();
  private final List<RunningEntry> entries = new ArrayList<>();
  private final Map<String, RunningSide> sides = new HashMap<>();
  private final WorkerLeaseTerms lease;
  private long lastHeartbeat;

  WorkflowTestCluster() {
    this(LONGEST_LEASE_MILLIS);
  }

  /** Creates a world whose workers grant leases of this length at most. */
  WorkflowTestCluster(long longestLeaseMillis) {
    this.lease = WorkerLeaseTerms.forMaxLease(longestLeaseMillis);
  }

  FakeAdviser adviser() {
    return adviser;
  }

  FakeWorkflowStore store() {
    return store;
  }

  RunHistory history() {
    return history;
  }

  RunningEntry entry(int index) {
    return entries.get(index);
  }

  RunningSide side(String vm) {
    return sides.get(vm);
  }

  RunningEntry addEntry() throws IOException {
    return addEntry(60_000);
  }

  /**
   * Starts an entry.
   *
   * @param keepEndedMillis how long it tells the status of a workflow that has ended
   */
  RunningEntry addEntry(long keepEndedMillis) throws IOException {
    int port;
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    LinkLoop loop = new LinkLoop("entry-" + port, MonotonicClock.system());
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
    RefusingStore reached = new RefusingStore(store);
    EntryParameters terms = new EntryParameters(lease, keepEndedMillis, 1.5);
    WorkflowEntry entry =
        new WorkflowEntry(loop, reached, address, System::currentTimeMillis, adviser, terms);
    entry.start();
    entry.configure(configuration(1, "service"));
    RunningEntry running = new RunningEntry(entry, loop, "127.0.0.1:" + port, reached);
    entries.add(running);
    return running;
  }

  /**
   * Returns a configuration in which one queue sends its tasks to the service, and another one to a
   * service that no VM has.
   */
  static QueueTable configuration(long version, String service) {
    return new QueueTable(
        version,
        ImmutableList.of(
            new Queue("queue", "", "/", terms(service), 1_000),
            new Queue("idle", "", "/idle/", terms(SERVICE_WITHOUT_VMS), 1_000)));
  }

  private static WorkflowSpec.QueuePolicy terms(String service) {
    return new WorkflowSpec.QueuePolicy(service, 0, 3, Optional.empty(), 2, 100);
  }

  /**
   * Starts entries, and VMs called {@code vm-0} and so on, and waits until partitions have owners.
   *
   * @param runMillis how long each task works
   */
  void start(int entryCount, int vms, long runMillis) throws IOException {
    for (int i = 0; i < entryCount; i++) {
      addEntry();
    }
    for (int i = 0; i < vms; i++) {
      addSide("vm-" + i, runMillis);
    }
    awaitReady();
  }

  /** Ends an entry as a kill does: without a word to anybody. */
  void kill(RunningEntry entry) {
    entry.loop().close();
    entries.remove(entry);
  }

  void addSide(String vm, long runMillis) {
    startSide(vm, new FakeWorkerGateway("life-1-" + vm, timer, history, runMillis));
  }

  private void startSide(String vm, FakeWorkerGateway worker) {
    LinkLoop loop = new LinkLoop("side-" + vm, MonotonicClock.system());
    WorkflowSideProcess side = new WorkflowSideProcess(loop, store, worker, vm, lease);
    side.start();
    sides.put(vm, new RunningSide(vm, side, loop, worker));
    timer.scheduleAtFixedRate(
        () -> sendHeartbeat(vm), 1, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Ends a side process as a kill does and starts another one beside the same worker. */
  void restartSide(String vm) {
    RunningSide old = sides.get(vm);
    old.loop().close();
    startSide(vm, old.worker());
  }

  /** Has the VM's worker say what it is doing, and waits until its side process has heard it. */
  void heartbeatAndWait(String vm) {
    assertTrue(sendHeartbeat(vm).join(), "the heartbeat was not taken");
  }

  private synchronized CompletableFuture<Boolean> sendHeartbeat(String vm) {
    RunningSide running = sides.get(vm);
    if (running.worker().isUnresponsive()) {
      return CompletableFuture.completedFuture(false);
    }
    lastHeartbeat++;
    return running
        .side()
        .heartbeat(
            new WorkerHeartbeat(
                running.worker().incarnation(),
                "service",
                "zone",
                ImmutableList.of("a", "rack"),
                "rack",
                new Sizes(4_000, 1L << 33, 0),
                running.worker().isDraining(),
                lastHeartbeat));
  }

  static WorkflowSpec workflow(long id, int... widths) {
    return workflow(id, StepSpec.TaskTraits.PLAIN, widths);
  }

  static WorkflowSpec workflow(long id, StepSpec.TaskTraits nature, int... widths) {
    return workflow(id, Optional.empty(), nature, widths);
  }

  /** Returns a workflow of a queue that wants placement advice. */
  static WorkflowSpec workflowWithAdvice(long id, int... widths) {
    AdviserTiming advice = new AdviserTiming(1, 1, 60_000);
    return workflow(id, Optional.of(advice), StepSpec.TaskTraits.PLAIN, widths);
  }

  private static WorkflowSpec workflow(
      long id, Optional<AdviserTiming> advice, StepSpec.TaskTraits nature, int... widths) {
    ImmutableList.Builder<StepSpec> steps = ImmutableList.builder();
    for (int i = 0; i < widths.length; i++) {
      steps.add(
          new StepSpec(
              widths[i],
              new Sizes(500, 1 << 20, 0),
              100,
              i == 0 ? ImmutableList.of() : ImmutableList.of(i - 1),
              StepSpec.Placement.ANYWHERE,
              nature));
    }
    return new WorkflowSpec(
        id,
        "queue",
        new WorkflowSpec.QueuePolicy("service", 0, 3, advice, 2, 100),
        "program",
        steps.build(),
        WorkflowSpec.Schedule.IMMEDIATE,
        System.currentTimeMillis());
  }

  QueryResult status(int entry, long id) {
    return entries.get(entry).entry().query(id, "queue", false).join();
  }

  /** Waits for the condition; fails after far longer than it can take. */
  void await(String what, BooleanSupplier condition) {
    long until = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < until, "not seen: " + what);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
  }

  void awaitReady() {
    await(
        "all entries know their partitions",
        () ->
            entries.stream().allMatch(each -> each.entry().isReady())
                && status(0, 1) == QueryResult.UNKNOWN_WORKFLOW);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    entries.forEach(each -> each.loop().close());
    sides.values().forEach(each -> each.loop().close());
  }
}
