package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
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
 * A store in memory that keeps the contract of the platform's: epochs and sequence numbers of
 * writers, the newest record of each key, a group that deals partitions and takes them back only
 * when their owner has called again or was dropped. Fails as it is told. Safe for any thread.
 */
final class FakeWorkflowStore implements WorkflowStore {
  /** What happens to the next appends to the progress of workflows. */
  enum AppendFault {
    NONE,
    /** Written, and the answer is lost. */
    ANSWER_LOST,
    /** Not written, and refused. */
    REFUSED
  }

  private static final class Log {
    private final List<KeyedRecord> records = new ArrayList<>();
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
  private int dropsRefused;

  FakeWorkflowStore(int partitions, ScheduledExecutorService timer) {
    this.partitions = partitions;
    this.timer = timer;
  }

  synchronized void failAppends(AppendFault newFault, int times) {
    fault = newFault;
    faultsLeft = times;
  }

  /** Refuses from now on to drop what callers handed in. */
  synchronized void refuseDrops() {
    refusesDrops = true;
  }

  /** Returns how often it refused to drop something. */
  synchronized int dropsRefused() {
    return dropsRefused;
  }

  /** Returns how many appends failed as told. */
  synchronized int faultsSeen() {
    return faultsSeen;
  }

  /** Drops a member whose process is gone, as the store does after a while. */
  synchronized void drop(String memberPrefix) {
    if (members.removeIf(member -> member.startsWith(memberPrefix))) {
      owners.values().removeIf(owner -> owner.startsWith(memberPrefix));
      acknowledged.keySet().removeIf(member -> member.startsWith(memberPrefix));
      rebalance();
    }
  }

  /** Deals all partitions to another member at once, without a word to the former ones. */
  synchronized void reassignAll() {
    List<String> all = List.copyOf(members);
    generation++;
    for (int partition = 0; partition < partitions; partition++) {
      int now = all.indexOf(owners.getOrDefault(partition, ""));
      owners.put(partition, all.get(Math.max(0, now + 1) % all.size()));
    }
  }

  private void rebalance() {
    generation++;
    List<String> all = List.copyOf(members);
    if (all.isEmpty()) {
      return;
    }
    int most = (partitions + all.size() - 1) / all.size();
    for (String member : all) {
      // Taken back now and given away once everybody has called again.
      owned(member).stream().skip(most).forEach(owners::remove);
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
        String least =
            members.stream()
                .min(java.util.Comparator.comparingInt(member -> owned(member).size()))
                .orElseThrow();
        owners.put(partition, least);
        changed = true;
      }
    }
    generation += changed ? 1 : 0;
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
  public int partitions() {
    return partitions;
  }

  @Override
  public synchronized CompletableFuture<AppendResult> append(
      Topic topic, int partition, List<KeyedRecord> records, Optional<Writer> writer) {
    if (refusesDrops && topic == Topic.SUBMISSIONS && records.get(0).value().isEmpty()) {
      dropsRefused++;
      return completeLater(new NotAppended("told to keep it"));
    }
    boolean faulty = topic == Topic.PROGRESS && faultsLeft > 0 && !records.isEmpty();
    if (faulty) {
      faultsLeft--;
      faultsSeen++;
      if (fault == AppendFault.REFUSED) {
        return completeLater(new NotAppended("told to refuse"));
      }
    }
    AppendResult result = write(log(topic, partition), records, writer);
    return completeLater(faulty ? new AppendUnknown("told to lose the answer") : result);
  }

  private AppendResult write(Log log, List<KeyedRecord> records, Optional<Writer> writer) {
    if (writer.isPresent()) {
      Writer by = writer.get();
      if (by.epoch() < log.epoch) {
        return new Fenced();
      }
      if (by.epoch() > log.epoch) {
        log.epoch = by.epoch();
        log.sequence = by.sequence();
        log.lastBatch = -1;
      }
      if (records.isEmpty()) {
        return new Appended();
      }
      if (by.sequence() == log.lastBatch) {
        return new Appended();
      }
      if (by.sequence() != log.sequence) {
        return new OutOfSequence("expected " + log.sequence);
      }
      log.lastBatch = by.sequence();
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
    return new Appended();
  }

  @Override
  public CompletableFuture<ReadResult> read(
      Topic topic, int partition, long from, long waitMillis) {
    CompletableFuture<ReadResult> future = new CompletableFuture<>();
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    poll(log(topic, partition), from, until, future);
    return future;
  }

  private void poll(Log log, long from, long until, CompletableFuture<ReadResult> future) {
    synchronized (this) {
      if (log.records.size() > from || System.nanoTime() - until > 0) {
        List<KeyedRecord> late =
            log.records.subList((int) Math.min(from, log.records.size()), log.records.size());
        future.complete(new Records(ImmutableList.copyOf(late), from + late.size()));
        return;
      }
    }
    timer.schedule(() -> poll(log, from, until, future), 2, TimeUnit.MILLISECONDS);
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
  public synchronized CompletableFuture<JoinResult> join(String member, long known) {
    if (members.add(member)) {
      rebalance();
    }
    acknowledged.put(member, known);
    boolean all =
        members.stream().allMatch(each -> acknowledged.getOrDefault(each, 0L) >= generation);
    if (all) {
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
