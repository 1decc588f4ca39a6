package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.workflow.VirtualStoreClient.Call;
import io.marigoldsail.daemon.workflow.VirtualStoreClient.Fate;
import io.marigoldsail.daemon.workflow.VirtualStoreClient.ReadContent;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.IntConsumer;

/**
 * Random faults of the store's calls, of the entries and of the assignment of partitions. One
 * thread.
 */
final class CancelOrderFaults {
  private static final long MAX_LATE_MILLIS = 6_000;
  private static final long MAX_WINDOW_MILLIS = 4_000;
  private static final long MAX_STOP_MILLIS = 4_000;
  private static final int WINDOWS = 8;

  private final VirtualCluster cluster;
  private final SplittableRandom random;
  private final List<VirtualCluster.Entry> entries;
  private final CancelOracle oracle;

  /**
   * Creates faults that have not begun.
   *
   * @param entries the running entries, which change as they are restarted
   */
  CancelOrderFaults(
      VirtualCluster cluster,
      SplittableRandom random,
      List<VirtualCluster.Entry> entries,
      CancelOracle oracle) {
    this.cluster = requireNonNull(cluster, "cluster");
    this.random = requireNonNull(random, "random");
    this.entries = requireNonNull(entries, "entries");
    this.oracle = requireNonNull(oracle, "oracle");
  }

  /** Returns fates of calls to a store in order: the answers take some milliseconds. */
  Function<Call, Fate> inOrder() {
    return call -> Fate.after(random.nextLong(1, 20), random.nextLong(1, 20));
  }

  /**
   * Schedules faults within the given time, of which none lasts longer.
   *
   * @param restart restarts the entry of the index
   */
  void schedule(long millis, IntConsumer restart) {
    for (int i = 0; i < WINDOWS; i++) {
      at(millis, this::beginWindow);
    }
    for (int i = random.nextInt(4); i > 0; i--) {
      at(millis, this::stopEntry);
    }
    for (int i = random.nextInt(6); i > 0; i--) {
      at(millis, this::reassign);
    }
    for (int i = random.nextInt(2); i > 0; i--) {
      at(millis, () -> restart.accept(random.nextInt(entries.size())));
    }
  }

  private void at(long maxMillis, Runnable fault) {
    cluster.after(random.nextLong(1, maxMillis), fault);
  }

  /** Reassigns all partitions, without waiting for their owners. */
  void reassign() {
    oracle.note("partitions reassigned");
    cluster.store().reassignAll();
  }

  private VirtualCluster.Entry anyEntry() {
    return entries.get(random.nextInt(entries.size()));
  }

  private void stopEntry() {
    VirtualCluster.Entry entry = anyEntry();
    long millis = random.nextLong(20, MAX_STOP_MILLIS);
    boolean machine = random.nextBoolean();
    oracle.note(entry.memberPrefix() + (machine ? " suspended " : " paused ") + millis + " ms");
    if (machine) {
      entry.suspend(millis);
    } else {
      entry.pause(millis);
    }
  }

  private void beginWindow() {
    VirtualCluster.Entry entry = anyEntry();
    long millis = random.nextLong(100, MAX_WINDOW_MILLIS);
    int kind = random.nextInt(6);
    oracle.note("store faults of kind " + kind + " for " + entry.memberPrefix() + " " + millis);
    entry.store.setFates(
        switch (kind) {
          case 0 -> call -> Fate.REFUSED;
          case 1 -> call -> random.nextBoolean() ? Fate.REQUEST_LOST : Fate.ANSWER_LOST;
          case 2 -> call -> Fate.after(random.nextLong(1, 700), random.nextLong(1, 700));
          case 3 -> call -> call == Call.APPEND ? appendFate() : inOrder().apply(call);
          case 4 -> call -> call == Call.READ ? readFate() : inOrder().apply(call);
          default -> this::anyFate;
        });
    cluster.after(millis, () -> entry.store.setFates(inOrder()));
  }

  /** Returns the fate of an append of which the answer may be lost. */
  private Fate appendFate() {
    return random.nextBoolean()
        ? Fate.after(random.nextLong(1, MAX_LATE_MILLIS), Long.MAX_VALUE)
        : inOrder().apply(Call.APPEND);
  }

  /** Returns the fate of a read that may be slow or partial, or from an offset that is gone. */
  private Fate readFate() {
    Fate slow = Fate.after(random.nextLong(1, 400), random.nextLong(1, 400));
    return switch (random.nextInt(4)) {
      case 0 -> Fate.ANSWERED.withContent(ReadContent.EXPIRED);
      case 1 -> slow;
      case 2 -> slow.withContent(ReadContent.FIRST_RECORD);
      default -> Fate.REFUSED;
    };
  }

  private Fate anyFate(Call call) {
    return switch (random.nextInt(5)) {
      case 0 -> Fate.REFUSED;
      case 1 -> call == Call.APPEND ? appendFate() : Fate.REQUEST_LOST;
      case 2 -> call == Call.READ ? readFate() : Fate.ANSWER_LOST;
      default -> inOrder().apply(call);
    };
  }
}
