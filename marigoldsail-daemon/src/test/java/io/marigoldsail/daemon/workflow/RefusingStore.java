package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.capacity.StoreLimits;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The store as seen by one process; may refuse all calls of this process but of no other. */
final class RefusingStore implements WorkflowStore {
  private static final String REASON = "refused by the test";

  private final WorkflowStore store;
  private volatile boolean refusing;
  private volatile boolean refusingReads;
  private volatile int refusedBelow;

  RefusingStore(WorkflowStore store) {
    this.store = store;
  }

  /** Refuses appends to partitions below the given one from now on. */
  void refuseAppendsBelow(int partition) {
    refusedBelow = partition;
  }

  /** Refuses reads of records from now on. */
  void refuseReads() {
    refusingReads = true;
  }

  void setRefusing(boolean refuse) {
    refusing = refuse;
  }

  private static <T> CompletableFuture<T> done(T result) {
    return CompletableFuture.completedFuture(result);
  }

  @Override
  public StoreLimits limits() {
    return StoreLimits.DEFAULT;
  }

  @Override
  public int partitions() {
    return store.partitions();
  }

  @Override
  public CompletableFuture<AppendResult> append(
      Topic topic, int partition, List<KeyedRecord> records, Optional<Writer> writer) {
    return refusing || partition < refusedBelow
        ? done(new NotAppended(REASON))
        : store.append(topic, partition, records, writer);
  }

  @Override
  public CompletableFuture<ReadResult> read(
      Topic topic, int partition, long from, long waitMillis) {
    return refusing || refusingReads
        ? done(new ReadFailed(REASON))
        : store.read(topic, partition, from, waitMillis);
  }

  @Override
  public CompletableFuture<NewestResult> readNewest(
      Topic topic, int partition, Optional<String> after) {
    return refusing
        ? done(new NewestUnavailable(REASON))
        : store.readNewest(topic, partition, after);
  }

  @Override
  public CompletableFuture<JoinResult> join(String member, long generation) {
    return refusing ? done(new JoinFailed(REASON)) : store.join(member, generation);
  }

  @Override
  public CompletableFuture<Boolean> leave(String member) {
    return refusing ? done(false) : store.leave(member);
  }

  @Override
  public CompletableFuture<OwnersResult> owners() {
    return refusing ? done(new OwnersUnavailable(REASON)) : store.owners();
  }
}
