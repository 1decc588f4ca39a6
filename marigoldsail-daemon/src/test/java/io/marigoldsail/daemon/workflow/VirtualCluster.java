package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.link.VirtualLinks;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowIds;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A cluster of entries and side processes on virtual time: the real ones, with a store, workers and
 * links in memory. Each process has its own clocks and may stand still. One thread.
 */
final class VirtualCluster {
  static final int PARTITIONS = 6;

  private static final int FIRST_PORT = 7_000;
  private static final long MEMBER_TTL_MILLIS = 2_000;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);

  /** A process that may stand still. */
  abstract class Process {
    final VirtualLoop time = new VirtualLoop(links);
    final VirtualStoreClient store =
        new VirtualStoreClient(sharedStore, network, time, this::memberJoined);
    private long stoppedMillis;
    private long resumesAt;

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

    private void advanceOne() {
      if (network.millis() < resumesAt) {
        stoppedMillis++;
      } else if (stoppedMillis > 0) {
        time.skip(stoppedMillis + 1);
        stoppedMillis = 0;
      } else {
        time.advance(1);
      }
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
              OptionalInt.empty());
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
  }

  /** A side process with its worker. */
  final class Side extends Process {
    private final ScriptedWorker worker = new ScriptedWorker(time);
    private final WorkflowSideProcess side;
    private long heartbeats;

    private Side(String vm) {
      worker.endStoppedRuns();
      side =
          new WorkflowSideProcess(
              time.loop(), store, worker, vm, TERMS, InterferenceScope.PER_IMAGE);
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
  }

  private final VirtualLinks links = new VirtualLinks();
  private final VirtualLoop network = new VirtualLoop();
  private final FakeWorkflowStore sharedStore = new FakeWorkflowStore(PARTITIONS, network.timer());
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, Long> joinedAt = new HashMap<>();

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

  /** Starts a VM. */
  Side addSide(String vm) {
    return new Side(vm);
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
    for (long passed = 0; passed < millis; passed++) {
      network.advance(1);
      dropSilentMembers();
      List.copyOf(processes).forEach(Process::advanceOne);
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
    return owners.byPartition().get(WorkflowIds.partition(workflow, PARTITIONS));
  }
}
