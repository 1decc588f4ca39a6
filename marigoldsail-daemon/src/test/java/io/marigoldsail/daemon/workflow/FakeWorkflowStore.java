package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.marigoldsail.daemon.capacity.StoreLimits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An in-memory store with the contract of the platform's store: epochs and sequence numbers of
 * writers, the newest record of each key, and a group that reassigns a partition only after its
 * owner has joined again or was dropped. Fails on request. Safe for any thread.
 */
final class FakeWorkflowStore implements WorkflowStore {
  /** The fault of the next appends to the progress of workflows. */
  enum AppendFault {
    NONE,
    /** Written, but the answer is lost. */
    ANSWER_LOST,
    /** Refused and not written. */
    REFUSED
  }

  private record WaitingRead(long from, CompletableFuture<ReadResult> future) {}

  private static final class Log {
    private final List<KeyedRecord> records = new ArrayList<>();
    private final List<WaitingRead> waitingReads = new ArrayList<>();
    private final Map<String, KeyedRecord> newest = new TreeMap<>();
    private long epoch = -1;
    private long sequence;
    private long lastBatch = -1;
  }

  private final int partitions;
  private final ScheduledExecutorService timer;
  private final Map<String, Log> logs = new HashMap<>();
  private final Set<String> members = new TreeSet<>();
  private final Map<Integer, String> owners = new HashMap<>();
  private final Map<String, Long> acknowledged = new HashMap<>();
  private long generation;
  private AppendFault fault = AppendFault.NONE;
  private int faultsLeft;
  private int faultsSeen;
  private boolean refusesDrops;
  private boolean enforcesLimits;
  private final Set<String> rejectedKeys = new TreeSet<>();
  private int appendsRejected;
  private int dropsRefused;

  FakeWorkflowStore(int partitions, ScheduledExecutorService timer) {
    this.partitions = partitions;
    this.timer = timer;
  }

  synchronized void failAppends(AppendFault newFault, int times) {
    fault = newFault;
    faultsLeft = times;
  }

  /** Rejects what is over {@link #limits} from now on, as the platform's store does. */
  synchronized void enforceLimits() {
    enforcesLimits = true;
  }

  /** Rejects each append to the progress that contains the key. */
  synchronized void reject(String key) {
    rejectedKeys.add(key);
  }

  /** Takes all keys again. */
  synchronized void rejectNone() {
    rejectedKeys.clear();
  }

  /** Returns the number of appends that were rejected for one of their keys. */
  synchronized int appendsRejected() {
    return appendsRejected;
  }

  /** Refuses to drop submissions from now on. */
  synchronized void refuseDrops() {
    refusesDrops = true;
  }

  /** Returns the number of refused drops. */
  synchronized int dropsRefused() {
    return dropsRefused;
  }

  /** Returns the number of appends that failed on request. */
  synchronized int faultsSeen() {
    return faultsSeen;
  }

  /** Drops a member whose process is gone, as the platform's store does after a timeout. */
  synchronized void drop(String memberPrefix) {
    if (members.removeIf(member -> member.startsWith(memberPrefix))) {
      owners.values().removeIf(owner -> owner.startsWith(memberPrefix));
      acknowledged.keySet().removeIf(member -> member.startsWith(memberPrefix));
      rebalance();
    }
  }

  /** Reassigns all partitions at once, without waiting for a join of their owners. */
  synchronized void reassignAll() {
    List<String> all = List.copyOf(members);
    generation++;
    for (int partition = 0; partition < partitions; partition++) {
      int current = all.indexOf(owners.getOrDefault(partition, ""));
      owners.put(partition, all.get(Math.max(0, current + 1) % all.size()));
    }
  }

  /**
   * Reassigns all partitions at once, without waiting for a join of their owners.
   *
   * @param newOwners prefixes of members, one for each partition
   */
  synchronized void reassign(List<String> newOwners) {
    generation++;
    for (int partition = 0; partition < partitions; partition++) {
      String prefix = newOwners.get(partition);
      owners.put(
          partition,
          members.stream().filter(member -> member.startsWith(prefix)).findFirst().orElseThrow());
    }
  }

  /** Returns the epoch of the last writer of the partition's progress. */
  synchronized long epoch(int partition) {
    return log(Topic.PROGRESS, partition).epoch;
  }

  private void rebalance() {
    generation++;
    List<String> all = List.copyOf(members);
    if (all.isEmpty()) {
      return;
    }
    int maxPerMember = (partitions + all.size() - 1) / all.size();
    for (String member : all) {
      // Unassigned now, and assigned again once every member has joined again.
      owned(member).stream().skip(maxPerMember).forEach(owners::remove);
    }
  }

  private List<Integer> owned(String member) {
    return owners.entrySet().stream()
        .filter(each -> each.getValue().equals(member))
        .map(Map.Entry::getKey)
        .toList();
  }

  private void assignUnowned() {
    boolean changed = false;
    for (int partition = 0; partition < partitions; partition++) {
      if (!owners.containsKey(partition)) {
        String leastLoaded =
            members.stream()
                .min(java.util.Comparator.comparingInt(member -> owned(member).size()))
                .orElseThrow();
        owners.put(partition, leastLoaded);
        changed = true;
      }
    }
    generation += changed ? 1 : 0;
  }

  private boolean haveAllJoinedAgain() {
    return members.stream().allMatch(each -> acknowledged.getOrDefault(each, 0L) >= generation);
  }

  /** Returns whether all partitions are owned and all members know the generation. */
  synchronized boolean isBalanced() {
    return owners.size() == partitions && haveAllJoinedAgain();
  }

  private synchronized Log log(Topic topic, int partition) {
    return logs.computeIfAbsent(topic + "/" + partition, unused -> new Log());
  }

  private <T> CompletableFuture<T> completeLater(T result) {
    CompletableFuture<T> future = new CompletableFuture<>();
    timer.schedule(() -> future.complete(result), 1, TimeUnit.MILLISECONDS);
    return future;
  }

  @Override
  public StoreLimits limits() {
    return StoreLimits.DEFAULT;
  }

  @Override
  public int partitions() {
    return partitions;
  }

  @Override
  public synchronized CompletableFuture<AppendResult> append(
      Topic topic, int partition, List<KeyedRecord> records, Optional<Writer> writer) {
    if (topic == Topic.PROGRESS
        && records.stream().anyMatch(each -> rejectedKeys.contains(each.key()))) {
      appendsRejected++;
      return completeLater(NotAppended.rejected("rejected by the test"));
    }
    if (enforcesLimits && isTooLarge(records)) {
      return completeLater(NotAppended.rejected("over the limits"));
    }
    if (refusesDrops && topic == Topic.SUBMISSIONS && records.get(0).value().isEmpty()) {
      dropsRefused++;
      return completeLater(new NotAppended("drop refused by the test"));
    }
    boolean faulty = topic == Topic.PROGRESS && faultsLeft > 0 && !records.isEmpty();
    if (faulty) {
      faultsLeft--;
      faultsSeen++;
      if (fault == AppendFault.REFUSED) {
        return completeLater(new NotAppended("append refused by the test"));
      }
    }
    AppendResult result = write(log(topic, partition), records, writer);
    return completeLater(faulty ? new AppendUnknown("answer lost by the test") : result);
  }

  private boolean isTooLarge(List<KeyedRecord> records) {
    int total = 0;
    for (KeyedRecord each : records) {
      total += StoreLimits.bytesInCall(each.key(), each.value().size());
    }
    return total > limits().callBytes()
        || records.stream()
            .anyMatch(each -> each.value().size() > limits().maxValueBytes(each.key()));
  }

  private AppendResult write(Log log, List<KeyedRecord> records, Optional<Writer> writer) {
    if (writer.isPresent()) {
      Writer from = writer.get();
      if (from.epoch() < log.epoch) {
        return new Fenced();
      }
      if (from.epoch() > log.epoch) {
        log.epoch = from.epoch();
        log.sequence = from.sequence();
        log.lastBatch = -1;
      }
      if (records.isEmpty()) {
        return new Appended();
      }
      if (from.sequence() == log.lastBatch) {
        return new Appended();
      }
      if (from.sequence() != log.sequence) {
        return new OutOfSequence("expected " + log.sequence);
      }
      log.lastBatch = from.sequence();
      log.sequence++;
    }
    for (KeyedRecord keyed : records) {
      log.records.add(keyed);
      if (keyed.value().isEmpty()) {
        log.newest.remove(keyed.key());
      } else {
        log.newest.put(keyed.key(), keyed);
      }
    }
    for (WaitingRead waiting : log.waitingReads) {
      timer.schedule(() -> answer(log, waiting), 1, TimeUnit.MILLISECONDS);
    }
    log.waitingReads.clear();
    return new Appended();
  }

  @Override
  public synchronized CompletableFuture<ReadResult> read(
      Topic topic, int partition, long from, long waitMillis) {
    Log log = log(topic, partition);
    if (waitMillis == 0 || log.records.size() > from) {
      return CompletableFuture.completedFuture(newer(log, from));
    }
    WaitingRead waiting = new WaitingRead(from, new CompletableFuture<>());
    log.waitingReads.add(waiting);
    timer.schedule(() -> answer(log, waiting), waitMillis, TimeUnit.MILLISECONDS);
    return waiting.future();
  }

  private void answer(Log log, WaitingRead waiting) {
    waiting.future().complete(newer(log, waiting.from()));
  }

  private synchronized Records newer(Log log, long from) {
    List<KeyedRecord> newer =
        log.records.subList((int) Math.min(from, log.records.size()), log.records.size());
    return new Records(ImmutableList.copyOf(newer), from + newer.size());
  }

  @Override
  public synchronized CompletableFuture<NewestResult> readNewest(
      Topic topic, int partition, Optional<String> after) {
    Log log = log(topic, partition);
    return completeLater(
        new NewestPage(
            ImmutableList.copyOf(log.newest.values()), Optional.empty(), log.records.size()));
  }

  @Override
  public synchronized CompletableFuture<JoinResult> join(String member, long knownGeneration) {
    if (members.add(member)) {
      rebalance();
    }
    acknowledged.put(member, knownGeneration);
    if (haveAllJoinedAgain()) {
      assignUnowned();
    }
    return completeLater(new Joined(generation, ImmutableSet.copyOf(owned(member))));
  }

  @Override
  public synchronized CompletableFuture<Boolean> leave(String member) {
    drop(member);
    return completeLater(true);
  }

  @Override
  public synchronized CompletableFuture<OwnersResult> owners() {
    Map<Integer, String> copy = new LinkedHashMap<>(owners);
    return completeLater(
        new Owners(
            copy.entrySet().stream()
                .map(each -> new Owner(each.getKey(), each.getValue()))
                .collect(ImmutableList.toImmutableList())));
  }
}
