package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.capacity.StoreLimits;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A store of one partition on virtual time that accepts every append. One thread. */
final class VirtualStore implements WorkflowStore {
  private static final long POLL_MILLIS = 1;

  private final VirtualLoop time;
  private final List<KeyedRecord> submissions = new ArrayList<>();
  private final Set<Long> readWaits = new HashSet<>();
  private final List<Runnable> heldReads = new ArrayList<>();
  private boolean holdsReads;
  private boolean expires;

  VirtualStore(VirtualLoop time) {
    this.time = time;
  }

  /** Adds a submission, as an entry does for a caller. */
  void submit(KeyedRecord submission) {
    submissions.add(submission);
  }

  /** Answers the next read with {@link Expired}. */
  void expireOnce() {
    expires = true;
  }

  /** Holds the responses to reads, which contain what was submitted when they were due. */
  void holdReads() {
    holdsReads = true;
  }

  /** Delivers the held responses. */
  void releaseReads() {
    holdsReads = false;
    heldReads.forEach(Runnable::run);
    heldReads.clear();
  }

  /** Returns how long the reads so far were to wait for a record, in milliseconds. */
  Set<Long> readWaits() {
    return Set.copyOf(readWaits);
  }

  private <T> CompletableFuture<T> completeLater(Supplier<T> result) {
    CompletableFuture<T> future = new CompletableFuture<>();
    time.loop()
        .schedule(() -> future.complete(result.get()), TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
    return future;
  }

  @Override
  public StoreLimits limits() {
    return StoreLimits.DEFAULT;
  }

  @Override
  public int partitions() {
    return 1;
  }

  @Override
  public CompletableFuture<AppendResult> append(
      Topic topic, int partition, List<KeyedRecord> records, Optional<Writer> writer) {
    return completeLater(Appended::new);
  }

  @Override
  public CompletableFuture<ReadResult> read(
      Topic topic, int partition, long from, long waitMillis) {
    readWaits.add(waitMillis);
    CompletableFuture<ReadResult> future = new CompletableFuture<>();
    completeLater(() -> result(from))
        .thenAccept(
            result -> {
              if (holdsReads) {
                heldReads.add(() -> future.complete(result));
              } else {
                future.complete(result);
              }
            });
    return future;
  }

  private ReadResult result(long from) {
    if (expires) {
      expires = false;
      return new Expired();
    }
    List<KeyedRecord> newer = submissions.subList((int) from, submissions.size());
    return new Records(ImmutableList.copyOf(newer), submissions.size());
  }

  @Override
  public CompletableFuture<NewestResult> readNewest(
      Topic topic, int partition, Optional<String> after) {
    return completeLater(
        () ->
            new NewestPage(
                topic == Topic.SUBMISSIONS ? ImmutableList.copyOf(submissions) : ImmutableList.of(),
                Optional.empty(),
                submissions.size()));
  }

  @Override
  public CompletableFuture<JoinResult> join(String member, long generation) {
    return completeLater(() -> new JoinFailed("not supported by this store"));
  }

  @Override
  public CompletableFuture<Boolean> leave(String member) {
    return completeLater(() -> true);
  }

  @Override
  public CompletableFuture<OwnersResult> owners() {
    return completeLater(() -> new OwnersUnavailable("not supported by this store"));
  }
}
