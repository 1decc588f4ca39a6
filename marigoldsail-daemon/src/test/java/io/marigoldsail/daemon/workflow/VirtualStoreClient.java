package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.capacity.StoreLimits;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The store as seen by one process on virtual time, over calls that take time and may fail. A
 * process that stands still receives the answers once it goes on. One thread.
 */
final class VirtualStoreClient implements WorkflowStore {
  /** What is called. */
  enum Call {
    APPEND,
    READ,
    GROUP
  }

  /** What the answer to a read contains. */
  enum ReadContent {
    ALL,
    /** The first record; the answer has no room for others. */
    FIRST_RECORD,
    /** The offset has expired. */
    EXPIRED
  }

  /**
   * What happens to a call. A call that is not answered within the client's timeout fails, whether
   * the store executes it or not.
   *
   * @param refused whether the store refuses it and does nothing
   * @param requestMillis when the store executes it, in milliseconds from its start
   * @param answerMillis how long the answer takes, in milliseconds
   * @param content what the answer to a read contains
   */
  record Fate(boolean refused, long requestMillis, long answerMillis, ReadContent content) {
    /** The call is answered after a round trip. */
    static final Fate ANSWERED = after(1, 1);

    static final Fate REFUSED = new Fate(true, 1, 1, ReadContent.ALL);
    static final Fate REQUEST_LOST = after(Long.MAX_VALUE, 1);
    static final Fate ANSWER_LOST = after(1, Long.MAX_VALUE);

    static Fate after(long requestMillis, long answerMillis) {
      return new Fate(false, requestMillis, answerMillis, ReadContent.ALL);
    }

    Fate withContent(ReadContent newContent) {
      return new Fate(refused, requestMillis, answerMillis, newContent);
    }
  }

  private static final long APPEND_TIMEOUT_MILLIS = 1_200;
  private static final long TIMEOUT_MILLIS = 1_000;

  private final WorkflowStore store;
  private final VirtualLoop network;
  private final VirtualLoop process;
  private final Consumer<String> onJoin;
  private Function<Call, Fate> fates = call -> Fate.ANSWERED;

  /**
   * Creates a client.
   *
   * @param network the time of the store and of the calls under way
   * @param process the time of the calling process
   * @param onJoin receives the member of each join that the store executes
   */
  VirtualStoreClient(
      WorkflowStore store, VirtualLoop network, VirtualLoop process, Consumer<String> onJoin) {
    this.store = requireNonNull(store, "store");
    this.network = requireNonNull(network, "network");
    this.process = requireNonNull(process, "process");
    this.onJoin = requireNonNull(onJoin, "onJoin");
  }

  /** Determines what happens to calls from now on. */
  void setFates(Function<Call, Fate> newFates) {
    fates = requireNonNull(newFates, "newFates");
  }

  /** Lets all calls from now on meet the same fate. */
  void setFate(Fate fate) {
    setFates(call -> fate);
  }

  private <T> CompletableFuture<T> call(
      Fate fate, long timeoutMillis, T refused, T unanswered, Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> future = new CompletableFuture<>();
    schedule(process, timeoutMillis, () -> future.complete(unanswered));
    schedule(
        network,
        fate.requestMillis(),
        () -> {
          CompletableFuture<T> executed =
              fate.refused() ? CompletableFuture.completedFuture(refused) : call.get();
          executed.thenAccept(
              result -> schedule(process, fate.answerMillis(), () -> future.complete(result)));
        });
    return future;
  }

  private static void schedule(VirtualLoop time, long millis, Runnable task) {
    if (millis < Long.MAX_VALUE) {
      time.loop().schedule(task, TimeUnit.MILLISECONDS.toNanos(millis));
    }
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
    return call(
        fates.apply(Call.APPEND),
        APPEND_TIMEOUT_MILLIS,
        new NotAppended("refused by the test"),
        new AppendUnknown("unanswered"),
        () -> store.append(topic, partition, records, writer));
  }

  @Override
  public CompletableFuture<ReadResult> read(
      Topic topic, int partition, long from, long waitMillis) {
    Fate fate = fates.apply(Call.READ);
    return call(
        fate,
        waitMillis + TIMEOUT_MILLIS,
        new ReadFailed("refused by the test"),
        new ReadFailed("unanswered"),
        () ->
            fate.content() == ReadContent.EXPIRED
                ? CompletableFuture.completedFuture(new Expired())
                : store
                    .read(topic, partition, from, waitMillis)
                    .thenApply(result -> limit(result, from, fate.content())));
  }

  private static ReadResult limit(ReadResult result, long from, ReadContent content) {
    return content == ReadContent.FIRST_RECORD
            && result instanceof Records records
            && records.records().size() > 1
        ? new Records(records.records().subList(0, 1), from + 1, records.endOffset())
        : result;
  }

  @Override
  public CompletableFuture<NewestResult> readNewest(
      Topic topic, int partition, Optional<String> after) {
    return call(
        fates.apply(Call.READ),
        TIMEOUT_MILLIS,
        new NewestUnavailable("refused by the test"),
        new NewestUnavailable("unanswered"),
        () -> store.readNewest(topic, partition, after));
  }

  @Override
  public CompletableFuture<JoinResult> join(String member, long generation) {
    return call(
        fates.apply(Call.GROUP),
        TIMEOUT_MILLIS,
        new JoinFailed("refused by the test"),
        new JoinFailed("unanswered"),
        () -> {
          onJoin.accept(member);
          return store.join(member, generation);
        });
  }

  @Override
  public CompletableFuture<Boolean> leave(String member) {
    return call(fates.apply(Call.GROUP), TIMEOUT_MILLIS, false, false, () -> store.leave(member));
  }

  @Override
  public CompletableFuture<OwnersResult> owners() {
    return call(
        fates.apply(Call.GROUP),
        TIMEOUT_MILLIS,
        new OwnersUnavailable("refused by the test"),
        new OwnersUnavailable("unanswered"),
        store::owners);
  }
}
