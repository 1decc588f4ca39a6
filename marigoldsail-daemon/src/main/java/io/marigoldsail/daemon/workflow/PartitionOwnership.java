package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkflowStore.JoinFailed;
import io.marigoldsail.daemon.workflow.WorkflowStore.Joined;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owner;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import io.marigoldsail.daemon.workflow.WorkflowStore.OwnersUnavailable;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowIds;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Keeps this entry a member of the owners, takes partitions up and gives them back.
 *
 * <p>The store's word on who owns a partition may be late, and at times it deals all partitions
 * anew without a reason. Nothing rests on it but who tries: the epoch of a partition's writer, made
 * of the store's generation, decides. Confined to the loop's thread.
 */
final class PartitionOwnership {
  private static final EventLog LOG = EventLog.of(PartitionOwnership.class);

  /**
   * Between two joins, in nanoseconds: three go out in the time after which a member is dropped.
   */
  private static final long JOIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /**
   * The same while members come and go, in nanoseconds. A partition waits for the next join of its
   * former owner: after all entries had started anew, one that was dealt all partitions first gave
   * them back 0.9 s later, in which runs on the workers came near the end of their leases.
   */
  private static final long REBALANCE_JOIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** For how long after a change of members there may be another one, in nanoseconds. */
  private static final long REBALANCE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Between two readings of the owners, in nanoseconds. */
  private static final long OWNERS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  /** Epochs of one generation: a partition taken up again under it needs a higher one. */
  private static final long EPOCHS_PER_GENERATION = 1_000;

  /** Told of changes; runs on the loop. */
  interface Listener extends OwnedPartition.Listener {
    /** The store told who owns what, at the generation or later. */
    void ownersRead(long asOfGeneration, Owners owners);
  }

  private final WorkflowStore store;
  private final LinkLoop loop;
  private final EntryMember self;
  private final Listener listener;
  private final Map<Integer, OwnedPartition> owned = new HashMap<>();
  private final Map<Integer, Long> lastEpochs = new HashMap<>();
  private ImmutableSet<Integer> assigned = ImmutableSet.of();
  private ImmutableMap<Integer, String> lastOwners = ImmutableMap.of();
  private long generation;
  private long generationChangedAt;
  private long joinedAt;
  private boolean leaving;
  private boolean joining;
  private volatile boolean connected;

  PartitionOwnership(WorkflowStore store, LinkLoop loop, EntryMember self, Listener listener) {
    this.store = requireNonNull(store, "store");
    this.loop = requireNonNull(loop, "loop");
    this.self = requireNonNull(self, "self");
    this.listener = requireNonNull(listener, "listener");
  }

  /** Begins to join and to read the owners. */
  void start() {
    store.owners().thenAccept(result -> loop.run(() -> removeEarlierIncarnations(result)));
    generationChangedAt = loop.now();
    loop.repeat(this::joinIfDue, REBALANCE_JOIN_INTERVAL_NANOS);
    loop.repeat(this::readOwners, OWNERS_INTERVAL_NANOS);
  }

  /**
   * Gives back what an earlier life of this process held.
   *
   * <p>Guards against the seconds in which nobody decides for its workflows, since the store drops
   * a member only after a while. It is gone for sure: this process has its address.
   */
  private void removeEarlierIncarnations(WorkflowStore.OwnersResult result) {
    if (result instanceof Owners owners) {
      Set<String> former = new HashSet<>();
      for (Owner owner : owners.owners()) {
        Optional<EntryMember> member = EntryMember.parse(owner.member());
        if (member.isPresent() && member.get().isEarlierIncarnationOf(self)) {
          former.add(owner.member());
        }
      }
      for (String member : former) {
        LOG.info(LogLine.of("former-life-removed").with("member", member));
        store.leave(member);
      }
      listener.ownersRead(0, owners);
    }
    join();
  }

  private void joinIfDue() {
    boolean unsettled = loop.now() - generationChangedAt < REBALANCE_WINDOW_NANOS;
    if (unsettled || loop.now() - joinedAt >= JOIN_INTERVAL_NANOS) {
      join();
    }
  }

  private void join() {
    if (leaving || joining) {
      return;
    }
    joining = true;
    joinedAt = loop.now();
    store
        .join(self.toString(), generation)
        .thenAccept(
            result ->
                loop.run(
                    () -> {
                      joining = false;
                      handleJoin(result);
                    }));
  }

  private void handleJoin(WorkflowStore.JoinResult result) {
    if (leaving) {
      return;
    }
    if (result instanceof JoinFailed failed) {
      if (connected) {
        connected = false;
        LOG.warning(LogLine.of("store-lost").with("reason", failed.reason()));
      }
      return;
    }
    Joined joined = (Joined) result;
    if (!connected) {
      connected = true;
      LOG.info(LogLine.of("store-regained").with("generation", joined.generation()));
    }
    boolean changed = joined.generation() != generation;
    generation = joined.generation();
    generationChangedAt = changed ? loop.now() : generationChangedAt;
    assigned = joined.partitions();
    for (int partition : ImmutableSet.copyOf(owned.keySet())) {
      if (!assigned.contains(partition)) {
        release(partition);
      }
    }
    assigned.forEach(this::acquire);
    if (changed) {
      LOG.info(
          LogLine.of("membership-changed")
              .with("generation", generation)
              .with("partitions", assigned.size()));
      // The store gives a partition to its new owner only once the former one has called again.
      join();
      readOwners();
    }
  }

  private void acquire(int partition) {
    if (owned.containsKey(partition)) {
      return;
    }
    long floor = generation * EPOCHS_PER_GENERATION;
    long epoch = Math.max(floor, lastEpochs.getOrDefault(partition, 0L) + 1);
    lastEpochs.put(partition, epoch);
    OwnedPartition taken =
        new OwnedPartition(store, loop, partition, epoch, new PartitionListener());
    owned.put(partition, taken);
    taken.open();
  }

  private void release(int partition) {
    OwnedPartition released = owned.remove(partition);
    released.close();
    LOG.info(
        LogLine.of("partition-released")
            .with("partition", partition)
            .with("epoch", released.epoch())
            .with("generation", generation));
    listener.lost(released);
  }

  private void readOwners() {
    if (leaving) {
      return;
    }
    long asOf = generation;
    store.owners().thenAccept(result -> loop.run(() -> handleOwners(asOf, result)));
  }

  private void handleOwners(long asOf, WorkflowStore.OwnersResult result) {
    if (!(result instanceof Owners owners)) {
      LOG.debug(LogLine.of("owners-unread").with("reason", ((OwnersUnavailable) result).reason()));
      return;
    }
    listener.ownersRead(asOf, owners);
    if (!owners.byPartition().equals(lastOwners)) {
      lastOwners = owners.byPartition();
      // Tells the generation of the new owners, without which nobody knows which map is newer.
      join();
    }
  }

  /** Returns the partition if this process owns it and may decide for it. */
  Optional<OwnedPartition> active(int partition) {
    return Optional.ofNullable(owned.get(partition)).filter(OwnedPartition::isActive);
  }

  /** Returns all partitions for which this process may decide. */
  ImmutableList<OwnedPartition> active() {
    return owned.values().stream()
        .filter(OwnedPartition::isActive)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the partition that holds the workflow. */
  int partitionOf(long workflow) {
    return WorkflowIds.partition(workflow, store.partitions());
  }

  /** Returns whether the store answered the last join; for any thread. */
  boolean isConnected() {
    return connected;
  }

  /** Gives everything back, so that others go on at once; stops deciding. */
  CompletableFuture<Boolean> leave() {
    leaving = true;
    for (int partition : ImmutableSet.copyOf(owned.keySet())) {
      release(partition);
    }
    return store.leave(self.toString());
  }

  /** Takes a partition up again after its writer was shut out while the store lists it as ours. */
  private final class PartitionListener implements OwnedPartition.Listener {
    @Override
    public void activated(OwnedPartition partition) {
      listener.activated(partition);
    }

    @Override
    public void submitted(OwnedPartition partition, Workflow workflow) {
      listener.submitted(partition, workflow);
    }

    @Override
    public void lost(OwnedPartition partition) {
      owned.remove(partition.number(), partition);
      listener.lost(partition);
      // The next join tells whether it is still ours; taken up again only then.
    }
  }
}
