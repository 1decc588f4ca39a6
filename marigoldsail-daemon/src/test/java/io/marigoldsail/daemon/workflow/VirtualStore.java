package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A store of one partition on virtual time that takes every append. One thread. */
final class VirtualStore implements WorkflowStore {
  private static final long POLL_MILLIS = 1;

  private final VirtualLoop time;
  private final List<KeyedRecord> submissions = new ArrayList<>();
  private boolean expires;

  VirtualStore(VirtualLoop time) {
    this.time = time;
  }

  /** Writes a record as a caller's entry does. */
  void submit(KeyedRecord submission) {
    submissions.add(submission);
  }

  /** Answers the next reading that the records from there on are gone. */
  void expireOnce() {
    expires = true;
  }

  private <T> CompletableFuture<T> completeLater(Supplier<T> result) {
    CompletableFuture<T> future = new CompletableFuture<>();
    time.loop()
        .schedule(() -> future.complete(result.get()), TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
    return future;
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
    return completeLater(
        () -> {
          if (expires) {
            expires = false;
            return new Expired();
          }
          List<KeyedRecord> late = submissions.subList((int) from, submissions.size());
          return new Records(ImmutableList.copyOf(late), submissions.size());
        });
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
    return completeLater(() -> new JoinFailed("not asked here"));
  }

  @Override
  public CompletableFuture<Boolean> leave(String member) {
    return completeLater(() -> true);
  }

  @Override
  public CompletableFuture<OwnersResult> owners() {
    return completeLater(() -> new OwnersUnavailable("not asked here"));
  }
}
