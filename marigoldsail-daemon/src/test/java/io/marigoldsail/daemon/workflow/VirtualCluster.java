package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.link.VirtualLinks;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowId;
import io.marigoldsail.workflow.WorkflowSpec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A cluster of entries and side processes on virtual time: the real ones, with a store, workers and
 * links in memory. Each process has its own clocks and may stand still. One thread.
 */
final class VirtualCluster {
  static final int PARTITIONS = 6;

  private static final int FIRST_PORT = 7_000;
  private static final long MEMBER_TTL_MILLIS = 2_000;
  private static final long MEMBER_CHECK_INTERVAL_MILLIS = 100;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);

  /** A process that may stand still. */
  abstract class Process {
    final VirtualLoop time = new VirtualLoop(links);
    final VirtualStoreClient store =
        new VirtualStoreClient(sharedStore, network, time, this::memberJoined);
    private long stoppedMillis;
    private long resumesAt;
    private boolean suspended;

    Process() {
      time.skip(network.millis());
      processes.add(this);
    }

    private void memberJoined(String member) {
      joinedAt.put(member, network.millis());
    }

    /** Stops the process for a time that its clocks count, as a signal does. */
    void pause(long millis) {
      resumesAt = Math.max(resumesAt, network.millis() + millis);
    }

    /** Suspends the process's machine: its monotonic clock stands still for the time. */
    void suspend(long millis) {
      pause(millis);
      suspended = true;
    }

    private long idleMillis() {
      return network.millis() < resumesAt ? resumesAt - network.millis() : time.idleMillis();
    }

    private void advance(long millis) {
      if (network.millis() < resumesAt) {
        stoppedMillis += millis;
        return;
      }
      if (suspended) {
        time.shiftWallClock(stoppedMillis);
      } else if (stoppedMillis > 0) {
        time.skip(stoppedMillis);
      }
      stoppedMillis = 0;
      suspended = false;
      time.skip(millis);
    }

    /** Runs the task in the process, once it does not stand still. */
    void execute(Runnable task) {
      time.loop().runLater(task);
    }

    /** Ends the process, as a crash does. */
    void kill() {
      processes.remove(this);
      links.drop(time.eventLoop());
    }
  }

  /** An entry. */
  final class Entry extends Process {
    private final String memberPrefix;
    private final WorkflowEntry entry;

    private Entry(int number, long retentionMillis) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", FIRST_PORT + number);
      memberPrefix = "127.0.0.1:" + address.getPort();
      EntryParameters parameters =
          new EntryParameters(
              TERMS,
              retentionMillis,
              Long.MAX_VALUE / 2,
              OptionalLong.empty(),
              1.5,
              OptionalInt.empty(),
              maxRetainedBytes);
      entry =
          new WorkflowEntry(
              time.loop(), store, address, time::wallMillis, new FakeAdviser(), parameters);
      try {
        entry.start();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      entry.configure(WorkflowTestCluster.configuration(1, "service"));
    }

    /** Returns the entry; its methods are to be called in {@link #execute}. */
    WorkflowEntry entry() {
      return entry;
    }

    String memberPrefix() {
      return memberPrefix;
    }

    /** Submits the workflow and advances the time until the entry responds. */
    AppendResult submit(WorkflowSpec spec) {
      CompletableFuture<AppendResult> result = new CompletableFuture<>();
      execute(() -> entry.submit(spec).thenAccept(result::complete));
      return await(result, 2_000);
    }

    /** Queries or cancels the workflow and advances the time until the entry responds. */
    QueryResult query(long id, boolean cancel) {
      return query(TestIds.id(id), cancel);
    }

    /** Queries or cancels the workflow and advances the time until the entry responds. */
    QueryResult query(WorkflowId id, boolean cancel) {
      CompletableFuture<QueryResult> result = new CompletableFuture<>();
      execute(() -> entry.query(id, "queue", cancel).thenAccept(result::complete));
      return await(result, 2_000);
    }
  }

  /** A side process with its worker. */
  final class Side extends Process {
    private final ScriptedWorker worker = new ScriptedWorker(time);
    private final StartRecorder recorder = new StartRecorder(worker);
    private final WorkflowSideProcess side;
    private long heartbeats;

    private Side(String vm) {
      worker.endStoppedRuns();
      side =
          new WorkflowSideProcess(
              time.loop(), store, recorder, vm, TERMS, InterferenceScope.PER_IMAGE);
      side.start();
      heartbeat(vm);
      time.loop()
          .repeat(() -> heartbeat(vm), TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_INTERVAL_MILLIS));
    }

    private void heartbeat(String vm) {
      side.heartbeat(
          new WorkerHeartbeat(
              "worker-" + vm,
              "service",
              "zone",
              ImmutableList.of(),
              "",
              new Sizes(64_000, 1L << 36, 0),
              false,
              ++heartbeats));
    }

    ScriptedWorker worker() {
      return worker;
    }

    /** Lets the worker reject matching starts as malformed. */
    void rejectStarts(Predicate<RunKey> rejects) {
      recorder.rejects = rejects;
    }

    /** Returns how many starts the worker has rejected. */
    int rejections() {
      return recorder.rejections;
    }

    /** Passes each run that starts on the worker to the consumer. */
    void onStart(Consumer<RunKey> consumer) {
      recorder.onStart = consumer;
    }
  }

  /** Passes the calls to the worker, and tells which runs have started. */
  private static final class StartRecorder implements WorkerGateway {
    private final WorkerGateway worker;
    private final Set<RunKey> started = new HashSet<>();
    private Consumer<RunKey> onStart = run -> {};
    private Predicate<RunKey> rejects = run -> false;
    private int rejections;

    StartRecorder(WorkerGateway worker) {
      this.worker = worker;
    }

    @Override
    public CompletableFuture<OrderResult> start(String incarnation, StartOrder start) {
      if (rejects.test(start.run())) {
        rejections++;
        return CompletableFuture.completedFuture(
            new Refused(Refusal.MALFORMED, "rejected by the test"));
      }
      return worker
          .start(incarnation, start)
          .thenApply(
              result -> {
                if (result instanceof Accepted && started.add(start.run())) {
                  onStart.accept(start.run());
                }
                return result;
              });
    }

    @Override
    public CompletableFuture<OrderResult> stop(String incarnation, RunKey run) {
      return worker.stop(incarnation, run);
    }

    @Override
    public CompletableFuture<OrderResult> throttle(String incarnation, RunKey run, int percent) {
      return worker.throttle(incarnation, run, percent);
    }

    @Override
    public CompletableFuture<ListingResult> takeOver(String incarnation) {
      return worker.takeOver(incarnation);
    }

    @Override
    public CompletableFuture<ListingResult> list(
        String incarnation, OptionalLong deadline, long acknowledged, long waitMillis) {
      return worker.list(incarnation, deadline, acknowledged, waitMillis);
    }
  }

  private final VirtualLinks links = new VirtualLinks();
  private final VirtualLoop network = new VirtualLoop();
  private final FakeWorkflowStore sharedStore = new FakeWorkflowStore(PARTITIONS, network.timer());
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, Long> joinedAt = new HashMap<>();
  private long maxRetainedBytes = 1L << 30;

  VirtualCluster() {
    network
        .loop()
        .repeat(
            this::dropSilentMembers, TimeUnit.MILLISECONDS.toNanos(MEMBER_CHECK_INTERVAL_MILLIS));
  }

  /** Returns the store without the faults of the processes' calls. */
  FakeWorkflowStore store() {
    return sharedStore;
  }

  /**
   * Starts an entry.
   *
   * @param number determines its address; an entry of the same number must have ended
   * @param retentionMillis how long the entry retains the status of an ended workflow
   */
  Entry addEntry(int number, long retentionMillis) {
    return new Entry(number, retentionMillis);
  }

  /** Limits the memory of the workflows that each entry started from now on may be given. */
  void limitRetainedBytes(long bytes) {
    maxRetainedBytes = bytes;
  }

  /** Starts a VM. */
  Side addSide(String vm) {
    return new Side(vm);
  }

  /** Runs the task after the delay; it belongs to no process. */
  void after(long millis, Runnable task) {
    network.loop().schedule(task, TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Throws the first exception that a task has thrown since the last call, if any. */
  void rethrowFailure() {
    network.rethrowFailure();
    processes.forEach(process -> process.time.rethrowFailure());
  }

  /** Returns the virtual time, in milliseconds. */
  long millis() {
    return network.millis();
  }

  /** Returns the wall clock, in milliseconds. */
  long wallMillis() {
    return network.wallMillis();
  }

  /** Advances the time of all processes. */
  void advance(long millis) {
    long until = network.millis() + millis;
    while (network.millis() < until) {
      long idle = processes.stream().mapToLong(Process::idleMillis).min().orElse(Long.MAX_VALUE);
      long step = Math.min(until - network.millis(), Math.min(idle, network.idleMillis()));
      network.skip(step);
      List.copyOf(processes).forEach(process -> process.advance(step));
    }
  }

  private void dropSilentMembers() {
    for (Map.Entry<String, Long> each : Map.copyOf(joinedAt).entrySet()) {
      if (network.millis() - each.getValue() > MEMBER_TTL_MILLIS) {
        joinedAt.remove(each.getKey());
        sharedStore.drop(each.getKey());
      }
    }
  }

  /** Advances the time until the future is complete, at most by the given time. */
  <T> T await(CompletableFuture<T> future, long maxMillis) {
    for (long passed = 0; passed < maxMillis && !future.isDone(); passed++) {
      advance(1);
    }
    if (!future.isDone()) {
      throw new AssertionError("no result within " + maxMillis + " ms");
    }
    return future.join();
  }

  /** Returns the prefix of the member that owns the partition of the workflow. */
  String ownerOf(long workflow) {
    WorkflowStore.Owners owners = (WorkflowStore.Owners) await(sharedStore.owners(), 10);
    return owners.byPartition().get(TestIds.id(workflow).partition(PARTITIONS));
  }
}
