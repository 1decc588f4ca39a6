package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.time.ClockReading;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.AdviserTiming;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.Queue;
import io.marigoldsail.workflow.QueueTable;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowId;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.ZoneEvacuations;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** A cluster of entries and side processes over real links, with an in-memory store and workers. */
final class WorkflowTestCluster implements AutoCloseable {
  static final int PARTITIONS = 6;

  /** A service that a queue is assigned to and that no VM runs. */
  static final String SERVICE_WITHOUT_VMS = "service-without-vms";

  /** The zone of VMs for which a test names none. */
  static final String ZONE = "zone";

  private static final AdviserTiming ADVICE = new AdviserTiming(1, 1, 60_000);
  private static final long MAX_LEASE_MILLIS = 4_000;
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);
  private static final long HEARTBEAT_INTERVAL_MILLIS = 150;
  static final long MAX_CONFIGURATION_AGE_MILLIS = 2_000;
  private static final long EVACUATIONS_READ_INTERVAL_MILLIS = 200;

  /** A running entry. */
  record RunningEntry(
      WorkflowEntry entry, LinkLoop loop, String memberPrefix, RefusingStore store) {}

  /** A running side process with its worker. */
  record RunningSide(
      String vm, String zone, WorkflowSideProcess side, LinkLoop loop, FakeWorkerGateway worker) {}

  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final FakeWorkflowStore store = new FakeWorkflowStore(PARTITIONS, timer);
  private final RunHistory history = new RunHistory();
  private final FakeAdviser adviser = new FakeAdviser();
  private final List<RunningEntry> entries = new ArrayList<>();
  private final Map<String, RunningSide> sides = new HashMap<>();
  private final WorkerLeaseTerms lease;
  private long lastHeartbeat;

  WorkflowTestCluster() {
    this(MAX_LEASE_MILLIS);
  }

  /** Creates a cluster with the given maximum duration of leases. */
  WorkflowTestCluster(long maxLeaseMillis) {
    this.lease = WorkerLeaseTerms.forMaxLease(maxLeaseMillis);
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
   * @param endedRetentionMillis how long the entry retains the status of an ended workflow
   */
  RunningEntry addEntry(long endedRetentionMillis) throws IOException {
    return addEntry(endedRetentionMillis, OptionalInt.empty());
  }

  /** Starts an entry that owns partitions as its processors decide, in thousandths. */
  RunningEntry addEntryWithProcessors(int processorsMilli) throws IOException {
    return addEntry(60_000, OptionalInt.of(processorsMilli));
  }

  private RunningEntry addEntry(long endedRetentionMillis, OptionalInt processorsMilli)
      throws IOException {
    int port;
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    LinkLoop loop = new LinkLoop("entry-" + port, MonotonicClock.system());
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
    RefusingStore storeOfEntry = new RefusingStore(store);
    EntryParameters parameters =
        new EntryParameters(
            lease,
            endedRetentionMillis,
            MAX_CONFIGURATION_AGE_MILLIS,
            OptionalLong.of(MAX_CONFIGURATION_AGE_MILLIS),
            1.5,
            processorsMilli,
            1L << 30);
    WorkflowEntry entry =
        new WorkflowEntry(
            loop, storeOfEntry, address, System::currentTimeMillis, adviser, parameters);
    entry.start();
    entry.configure(configuration(1, "service"));
    RunningEntry running = new RunningEntry(entry, loop, "127.0.0.1:" + port, storeOfEntry);
    entries.add(running);
    return running;
  }

  /**
   * Returns a configuration with a queue for the service, one for it that requires placement
   * advice, and one for a service without VMs.
   */
  static QueueTable configuration(long version, String service) {
    return new QueueTable(
        version,
        ImmutableList.of(
            new Queue("queue", "", "/", policy(service, Optional.empty()), 1_000),
            new Queue("advised", "", "/advised/", policy(service, Optional.of(ADVICE)), 1_000),
            new Queue("idle", "", "/idle/", policy(SERVICE_WITHOUT_VMS, Optional.empty()), 1_000)));
  }

  private static WorkflowSpec.QueuePolicy policy(String service, Optional<AdviserTiming> advice) {
    return new WorkflowSpec.QueuePolicy(service, 0, 3, advice, 2, 100);
  }

  /**
   * Starts entries and VMs, named {@code vm-0} and so on, and waits until all partitions are owned.
   *
   * @param runMillis how long each task runs
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

  /** Stops an entry as a kill does, without a clean leave. */
  void kill(RunningEntry entry) {
    entry.loop().close();
    entries.remove(entry);
  }

  void addSide(String vm, long runMillis) {
    addSide(vm, ZONE, runMillis);
  }

  /** Starts a VM in the availability zone. */
  void addSide(String vm, String zone, long runMillis) {
    startSide(vm, zone, new FakeWorkerGateway("incarnation-1-" + vm, timer, history, runMillis));
  }

  /** Puts the evacuations in force at all entries, and reads them again as a watch does. */
  void evacuate(ZoneEvacuations evacuations) {
    entries.forEach(each -> evacuate(each, evacuations));
  }

  /** Puts the evacuations in force at the entry, and reads them again as a watch does. */
  void evacuate(RunningEntry entry, ZoneEvacuations evacuations) {
    timer.scheduleAtFixedRate(
        () -> {
          entry.entry().evacuate(evacuations);
          entry.entry().confirmConfiguration(confirmedNow(entry));
        },
        0,
        EVACUATIONS_READ_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private static ClockReading confirmedNow(RunningEntry entry) {
    return new ClockReading(entry.loop().now(), System.currentTimeMillis(), 0);
  }

  /** Waits until the side process knows that its zone is evacuated. */
  void awaitEvacuated(String vm) {
    RunningSide running = sides.get(vm);
    await(
        "the side process of " + vm + " knows of the evacuation",
        () -> running.side().evacuations.includes(running.zone()));
  }

  private void startSide(String vm, String zone, FakeWorkerGateway worker) {
    LinkLoop loop = new LinkLoop("side-" + vm, MonotonicClock.system());
    WorkflowSideProcess side =
        new WorkflowSideProcess(loop, store, worker, vm, lease, InterferenceScope.PER_IMAGE);
    side.start();
    sides.put(vm, new RunningSide(vm, zone, side, loop, worker));
    timer.scheduleAtFixedRate(
        () -> sendHeartbeat(vm), 1, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops a side process as a kill does and starts another one for the same worker. */
  void restartSide(String vm) {
    RunningSide old = sides.get(vm);
    old.loop().close();
    startSide(vm, old.zone(), old.worker());
  }

  /** Sends a heartbeat of the VM's worker and waits until its side process has received it. */
  void heartbeatAndWait(String vm) {
    assertTrue(sendHeartbeat(vm).join(), "the heartbeat was not accepted");
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
                running.zone(),
                ImmutableList.of("a", "rack"),
                "rack",
                new Sizes(4_000, 1L << 33, 0),
                running.worker().isDraining(),
                lastHeartbeat));
  }

  static WorkflowSpec workflow(long id, int... widths) {
    return workflow(TestIds.id(id), widths);
  }

  static WorkflowSpec workflow(long id, StepSpec.TaskTraits traits, int... widths) {
    return workflow(TestIds.id(id), traits, widths);
  }

  static WorkflowSpec workflow(WorkflowId id, int... widths) {
    return workflow(id, StepSpec.TaskTraits.PLAIN, widths);
  }

  static WorkflowSpec workflow(WorkflowId id, StepSpec.TaskTraits traits, int... widths) {
    return workflow(id, Optional.empty(), traits, widths);
  }

  /** Returns a workflow of a queue that requires placement advice. */
  static WorkflowSpec workflowWithAdvice(long id, int... widths) {
    return workflowWithAdvice(TestIds.id(id), widths);
  }

  /** Returns a workflow of a queue that requires placement advice. */
  static WorkflowSpec workflowWithAdvice(WorkflowId id, int... widths) {
    return workflow(id, Optional.of(ADVICE), StepSpec.TaskTraits.PLAIN, widths);
  }

  private static WorkflowSpec workflow(
      WorkflowId id, Optional<AdviserTiming> advice, StepSpec.TaskTraits traits, int... widths) {
    ImmutableList.Builder<StepSpec> steps = ImmutableList.builder();
    for (int i = 0; i < widths.length; i++) {
      steps.add(
          new StepSpec(
              widths[i],
              new Sizes(500, 1 << 20, 0),
              100,
              i == 0 ? ImmutableList.of() : ImmutableList.of(i - 1),
              StepSpec.Placement.ANYWHERE,
              traits));
    }
    return new WorkflowSpec(
        id,
        advice.isPresent() ? "advised" : "queue",
        policy("service", advice),
        "program",
        steps.build(),
        WorkflowSpec.Schedule.IMMEDIATE,
        System.currentTimeMillis());
  }

  /** Returns a workflow of one step whose tasks take a thousandth of a processor each. */
  static WorkflowSpec workflowOfSmallTasks(
      long id,
      int priority,
      int tasks,
      StepSpec.Placement placement,
      StepSpec.TaskTraits traits,
      String program) {
    StepSpec step =
        new StepSpec(tasks, new Sizes(1, 1 << 20, 0), 100, ImmutableList.of(), placement, traits);
    return new WorkflowSpec(
        TestIds.id(id),
        "queue",
        new WorkflowSpec.QueuePolicy("service", priority, 3, Optional.empty(), 2, 1_000),
        program,
        ImmutableList.of(step),
        WorkflowSpec.Schedule.IMMEDIATE,
        System.currentTimeMillis());
  }

  QueryResult status(int entry, long id) {
    return status(entry, TestIds.id(id));
  }

  QueryResult status(int entry, WorkflowId id) {
    return entries.get(entry).entry().query(id, "queue", false).join();
  }

  /**
   * Waits for the condition; fails after a timeout.
   *
   * @param description the condition, for the message of the failure
   */
  void await(String description, BooleanSupplier condition) {
    long deadline = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadline, "timed out waiting until " + description);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
  }

  void awaitReady() {
    await(
        "all entries are ready and all partitions are owned",
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
