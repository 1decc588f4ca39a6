package io.marigoldsail.daemon.workflow;

import static com.google.common.collect.ImmutableList.toImmutableList;
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
import io.marigoldsail.time.ClockPair;
import io.marigoldsail.time.ClockReading;
import io.marigoldsail.workflow.OwnerSelection;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Keeps this entry a member of the group of owners; acquires and releases partitions.
 *
 * <p>The assignment that the store reports may be stale, and the store may reassign all partitions
 * without a reason. It only determines which entry tries to own a partition; the epoch of the
 * partition's writer, derived from the store's generation, determines the owner. An entry that
 * {@link OwnerSelection} does not need as an owner stands by: it is no member, and only reads the
 * owners. Confined to the loop's thread.
 */
final class PartitionOwnership {
  private static final EventLog LOG = EventLog.of(PartitionOwnership.class);

  /**
   * Interval of joins, in nanoseconds; three joins fit into the time after which the store drops a
   * member.
   */
  private static final long JOIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /**
   * Interval of joins while the membership changes, in nanoseconds. A partition is not reassigned
   * before the next join of its former owner: after a restart of all entries, the first one was
   * assigned all partitions and released them 0.9 s later, when the leases of running tasks had
   * almost expired.
   */
  private static final long REBALANCE_JOIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Time after a membership change in which another one is likely, in nanoseconds. */
  private static final long REBALANCE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * Partitions that are read at the same time. After a restart of all entries, the first one is
   * assigned all partitions; it must notice that others have joined before it has read them all.
   */
  static final int MAX_OPENING = 8;

  /** Time after which a partition that is still being read no longer delays others. */
  private static final long MAX_OPENING_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Interval of renewals of the evidence of partitions with open tasks, in nanoseconds. */
  private static final long EVIDENCE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** Interval at which the clocks are compared, in nanoseconds. */
  private static final long CLOCK_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Interval of reads of the owners, in nanoseconds. */
  private static final long OWNERS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  /** Time after which an owner without a connection does not count: any program can be a member. */
  private static final long UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /**
   * Epochs per generation: a partition that is acquired again under the same generation needs a
   * higher epoch.
   */
  private static final long EPOCHS_PER_GENERATION = 1_000;

  /** The highest generation whose epochs can be numbered; no store comes near it. */
  static final long MAX_GENERATION = 1_000_000_000_000_000L;

  /** The highest epoch of a writer. */
  static final long MAX_EPOCH = (MAX_GENERATION + 1) * EPOCHS_PER_GENERATION - 1;

  /** Notified of changes; runs on the loop. */
  interface Listener extends OwnedPartition.Listener {
    /** Called with the owners of the partitions as of the generation or a later one. */
    void ownersRead(long asOfGeneration, Owners owners);

    /** Returns whether this process is connected to another owner. */
    default boolean isConnected(String member) {
      return true;
    }
  }

  private final WorkflowStore store;
  private final LinkLoop loop;
  private final ClockPair clocks;
  private final EntryMember self;
  private final Listener listener;
  private final Map<Integer, OwnedPartition> owned = new HashMap<>();
  private final Map<Integer, Long> lastEpochs = new HashMap<>();

  /** When the partitions that are not active yet began to be read. */
  private final Map<Integer, Long> openingSince = new HashMap<>();

  /** Partitions that were lost since the last join; only the next one acquires them again. */
  private final Set<Integer> lostSinceJoin = new HashSet<>();

  private ImmutableSet<Integer> assigned = ImmutableSet.of();
  private ImmutableMap<Integer, String> lastOwners = ImmutableMap.of();
  private long generation;
  private long generationChangedAt;
  private long joinedAt;
  private final Optional<OwnerSelection> selection;
  private final Map<String, Long> disconnectedSince = new HashMap<>();
  private boolean standingBy;
  private boolean leaving;
  private boolean joining;
  private volatile boolean connected;

  PartitionOwnership(
      WorkflowStore store,
      LinkLoop loop,
      LongSupplier wallMillis,
      EntryMember self,
      Listener listener) {
    this.store = requireNonNull(store, "store");
    this.loop = requireNonNull(loop, "loop");
    this.clocks = new ClockPair(loop::now, wallMillis::getAsLong, this::handleDivergence);
    this.self = requireNonNull(self, "self");
    this.selection =
        self.processorsMilli().isPresent()
            ? Optional.of(OwnerSelection.of(self.processorsMilli().getAsInt()))
            : Optional.empty();
    this.listener = requireNonNull(listener, "listener");
  }

  /** Starts to join and to read the owners periodically. */
  void start() {
    store.owners().thenAccept(result -> loop.run(() -> removeEarlierIncarnations(result)));
    generationChangedAt = loop.now();
    loop.repeat(this::joinIfDue, REBALANCE_JOIN_INTERVAL_NANOS);
    loop.repeat(this::readOwners, OWNERS_INTERVAL_NANOS);
    loop.repeat(this::renewOldEvidence, EVIDENCE_INTERVAL_NANOS);
    loop.repeat(this::renewMissingEvidence, CLOCK_CHECK_INTERVAL_NANOS);
  }

  private void renewOldEvidence() {
    ClockReading now = clocks.read();
    for (OwnedPartition partition : active()) {
      OptionalLong age = partition.writer().evidenceAgeNanos(now);
      boolean due = age.isEmpty() || age.getAsLong() > EVIDENCE_INTERVAL_NANOS;
      if (due && partition.workflows().stream().anyMatch(Workflow::hasOpenTasks)) {
        partition.writer().renewEvidence();
      }
    }
  }

  private void renewMissingEvidence() {
    withoutEvidence().forEach(partition -> partition.writer().renewEvidence());
  }

  private List<OwnedPartition> withoutEvidence() {
    ClockReading now = clocks.read();
    return active().stream()
        .filter(partition -> partition.writer().evidenceAgeNanos(now).isEmpty())
        .toList();
  }

  /** Handles a suspension or a clock step, which has made all evidence void. */
  private void handleDivergence(long steadyNanos, long wallNanos) {
    loop.runLater(
        () -> {
          List<OwnedPartition> voided = withoutEvidence();
          LOG.warning(
              LogLine.of("clocks-diverged")
                  .with("steady_ms", TimeUnit.NANOSECONDS.toMillis(steadyNanos))
                  .with("wall_ms", TimeUnit.NANOSECONDS.toMillis(wallNanos))
                  .with("generation", generation)
                  .with("evidence_voided", partitionsWithEpochs(voided)));
          renewMissingEvidence();
        });
  }

  private static String partitionsWithEpochs(List<OwnedPartition> partitions) {
    return partitions.stream()
        .map(partition -> partition.number() + "@" + partition.epoch())
        .collect(Collectors.joining(","));
  }

  /** Reads the clocks by which the age of evidence is determined. */
  ClockReading readClocks() {
    return clocks.read();
  }

  /**
   * Removes the members of earlier incarnations of this process, then joins.
   *
   * <p>The store drops a dead member only after some seconds, in which no entry would decide for
   * its workflows. An earlier incarnation is certainly dead because this process uses its address.
   */
  private void removeEarlierIncarnations(WorkflowStore.OwnersResult result) {
    if (result instanceof Owners owners) {
      Set<String> earlier = new HashSet<>();
      for (Owner owner : owners.owners()) {
        Optional<EntryMember> member = EntryMember.parse(owner.member());
        if (member.isPresent() && member.get().isEarlierIncarnationOf(self)) {
          earlier.add(owner.member());
        }
      }
      for (String member : earlier) {
        LOG.info(LogLine.of("former-life-removed").with("member", member));
        store.leave(member);
      }
      listener.ownersRead(0, owners);
      select(owners);
    }
    join();
  }

  /** Stands by or owns partitions, as {@link OwnerSelection} decides by the owners. */
  private void select(Owners owners) {
    if (selection.isEmpty() || leaving) {
      return;
    }
    Set<String> others = new HashSet<>(owners.byPartition().values());
    boolean listed = others.remove(self.toString());
    others.removeIf(name -> EntryMember.parse(name).filter(self::isAtAddressOf).isPresent());
    disconnectedSince.keySet().retainAll(others);
    others.removeIf(this::isUnreachable);
    ImmutableList<OptionalInt> processors =
        others.stream().map(PartitionOwnership::processorsOf).collect(toImmutableList());
    boolean owning = selection.get().update(processors, loop.now());
    if (owning == standingBy) {
      logSelection(owning, processors);
    }
    if (!owning && (!standingBy || listed)) {
      // A join that was sent before may be executed after the store has removed this member.
      standBy();
    } else if (owning && standingBy) {
      standingBy = false;
      join();
    }
  }

  /** Returns whether the owner has not been connected for some time, or now if this entry owns. */
  private boolean isUnreachable(String owner) {
    if (listener.isConnected(owner)) {
      disconnectedSince.remove(owner);
      return false;
    }
    boolean owning = !standingBy && generation > 0;
    long since = disconnectedSince.computeIfAbsent(owner, unused -> loop.now());
    return owning || loop.now() - since > UNREACHABLE_NANOS;
  }

  private void standBy() {
    standingBy = true;
    connected = true;
    assigned = ImmutableSet.of();
    ImmutableSet.copyOf(owned.keySet()).forEach(this::release);
    store.leave(self.toString());
  }

  private void logSelection(boolean owning, ImmutableList<OptionalInt> processors) {
    LOG.info(
        LogLine.of(owning ? "owner-needed" : "standing-by")
            .with("processors_milli", self.processorsMilli().getAsInt())
            .with("other_owners", processors.size())
            .with(
                "others_processors_milli",
                processors.stream().mapToInt(each -> each.orElse(0)).sum())
            .with("generation", generation)
            .with("partitions", owned.size()));
  }

  private static OptionalInt processorsOf(String name) {
    return EntryMember.parse(name).map(EntryMember::processorsMilli).orElse(OptionalInt.empty());
  }

  private void joinIfDue() {
    boolean rebalancing = loop.now() - generationChangedAt < REBALANCE_WINDOW_NANOS;
    if (rebalancing || loop.now() - joinedAt >= JOIN_INTERVAL_NANOS) {
      join();
    }
  }

  private void join() {
    if (leaving || joining || standingBy) {
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
    if (leaving || standingBy) {
      return;
    }
    if (result instanceof JoinFailed failed) {
      storeFailed(failed.reason());
      return;
    }
    Joined joined = (Joined) result;
    storeResponded(joined.generation());
    boolean changed = joined.generation() != generation;
    generation = joined.generation();
    generationChangedAt = changed ? loop.now() : generationChangedAt;
    assigned = joined.partitions();
    for (int partition : ImmutableSet.copyOf(owned.keySet())) {
      if (!assigned.contains(partition)) {
        release(partition);
      }
    }
    lostSinceJoin.clear();
    acquireAssigned();
    if (changed) {
      LOG.info(
          LogLine.of("membership-changed")
              .with("generation", generation)
              .with("partitions", assigned.size()));
      // The store reassigns a partition only after the next join of its former owner.
      join();
      readOwners();
    }
  }

  private void storeFailed(String reason) {
    if (connected) {
      connected = false;
      LOG.warning(LogLine.of("store-lost").with("reason", reason));
    }
  }

  private void storeResponded(long asOfGeneration) {
    if (!connected) {
      connected = true;
      LOG.info(LogLine.of("store-regained").with("generation", asOfGeneration));
    }
  }

  /** Begins to read assigned partitions, as many at a time as allowed. */
  private void acquireAssigned() {
    if (leaving) {
      return;
    }
    for (int partition : assigned) {
      if (countOpening() >= MAX_OPENING) {
        return;
      }
      if (!lostSinceJoin.contains(partition)) {
        acquire(partition);
      }
    }
  }

  private long countOpening() {
    long now = loop.now();
    return openingSince.values().stream().filter(since -> now - since < MAX_OPENING_NANOS).count();
  }

  private void acquire(int partition) {
    if (owned.containsKey(partition)) {
      return;
    }
    openingSince.put(partition, loop.now());
    long floor = generation * EPOCHS_PER_GENERATION;
    long epoch = Math.max(floor, lastEpochs.getOrDefault(partition, 0L) + 1);
    lastEpochs.put(partition, epoch);
    OwnedPartition acquired =
        new OwnedPartition(store, loop, clocks, partition, epoch, new PartitionListener());
    owned.put(partition, acquired);
    acquired.open();
  }

  private void release(int partition) {
    OwnedPartition released = owned.remove(partition);
    openingSince.remove(partition);
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
      String reason = ((OwnersUnavailable) result).reason();
      LOG.debug(LogLine.of("owners-unread").with("reason", reason));
      if (standingBy) {
        storeFailed(reason);
      }
      return;
    }
    if (standingBy) {
      storeResponded(asOf);
    }
    listener.ownersRead(asOf, owners);
    select(owners);
    if (!owners.byPartition().equals(lastOwners)) {
      lastOwners = owners.byPartition();
      // The response contains the generation of the new owners, which orders the owner maps.
      join();
    }
  }

  /** Returns the partition if this process owns it and it is active. */
  Optional<OwnedPartition> active(int partition) {
    return Optional.ofNullable(owned.get(partition)).filter(OwnedPartition::isActive);
  }

  /** Returns all active partitions of this process. */
  ImmutableList<OwnedPartition> active() {
    return owned.values().stream()
        .filter(OwnedPartition::isActive)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the partition that holds the workflow. */
  int partitionOf(WorkflowId workflow) {
    return workflow.partition(store.partitions());
  }

  /** Returns whether the last join succeeded; for any thread. */
  boolean isConnected() {
    return connected;
  }

  /**
   * Releases all partitions and leaves the group, so that other entries take over at once.
   *
   * @return completes when the store has responded
   */
  CompletableFuture<Boolean> leave() {
    leaving = true;
    for (int partition : ImmutableSet.copyOf(owned.keySet())) {
      release(partition);
    }
    return store.leave(self.toString());
  }

  /** Forwards events of a partition and removes it once its writer is fenced. */
  private final class PartitionListener implements OwnedPartition.Listener {
    @Override
    public void activated(OwnedPartition partition) {
      openingSince.remove(partition.number());
      listener.activated(partition);
      acquireAssigned();
    }

    @Override
    public void submitted(OwnedPartition partition, Workflow workflow) {
      listener.submitted(partition, workflow);
    }

    @Override
    public void lost(OwnedPartition partition) {
      owned.remove(partition.number(), partition);
      openingSince.remove(partition.number());
      listener.lost(partition);
      // The next join acquires it again if the store still assigns it to this entry.
      lostSinceJoin.add(partition.number());
      acquireAssigned();
    }
  }
}
