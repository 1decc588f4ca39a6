package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.capacity.StoreLimits;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

/** A store that only reads owners; the test determines each answer and its time. */
final class ScriptedOwnersStore implements WorkflowStore {
  private final int partitions;
  private final BlockingQueue<CompletableFuture<OwnersResult>> nextRequest =
      new LinkedBlockingQueue<>();

  ScriptedOwnersStore(int partitions) {
    this.partitions = partitions;
  }

  static Owners owners(Map<Integer, String> byPartition) {
    ImmutableList.Builder<Owner> owners = ImmutableList.builder();
    byPartition.forEach((partition, member) -> owners.add(new Owner(partition, member)));
    return new Owners(owners.build());
  }

  /** Waits for the next request for the owners; the caller completes it. */
  CompletableFuture<OwnersResult> nextRequest() throws InterruptedException {
    return nextRequest.take();
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
  public CompletableFuture<OwnersResult> owners() {
    CompletableFuture<OwnersResult> answer = new CompletableFuture<>();
    nextRequest.add(answer);
    return answer;
  }

  @Override
  public CompletableFuture<AppendResult> append(
      Topic topic, int partition, List<KeyedRecord> records, Optional<Writer> writer) {
    throw new UnsupportedOperationException("a side process appends nothing");
  }

  @Override
  public CompletableFuture<ReadResult> read(
      Topic topic, int partition, long from, long waitMillis) {
    throw new UnsupportedOperationException("a side process reads nothing");
  }

  @Override
  public CompletableFuture<NewestResult> readNewest(
      Topic topic, int partition, Optional<String> after) {
    throw new UnsupportedOperationException("a side process reads nothing");
  }

  @Override
  public CompletableFuture<JoinResult> join(String member, long generation) {
    throw new UnsupportedOperationException("a side process owns nothing");
  }

  @Override
  public CompletableFuture<Boolean> leave(String member) {
    throw new UnsupportedOperationException("a side process owns nothing");
  }
}
