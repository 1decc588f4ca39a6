package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.AppendQueue.Batch;
import io.marigoldsail.log.AppendQueue.Completion;
import io.marigoldsail.log.AppendQueue.Pending;
import io.marigoldsail.time.MonotonicClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;

/**
 * Appends entries to one stream, each exactly once, and tells where each stands.
 *
 * <p>One for each process and stream. Many entries share a platform record when they come quickly.
 * Safe for any thread. Rejects nulls. Holds a bounded number of entries and bytes, whatever the log
 * does. Futures complete in the follower's or the appender's thread: dependent steps must be short.
 */
public final class LogAppender implements AutoCloseable {
  private final LogService log;
  private final StreamFollower follower;
  private final EntryIdGenerator ids;
  private final AppendSettings settings;
  private final MonotonicClock clock;
  private final AppendQueue queue;
  private final Thread thread;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();

  /** What the follower has read but not published yet; its thread alone uses it. */
  private final List<Completion> pendingCompletions = new ArrayList<>();

  private boolean closed;

  /**
   * Creates an appender that is not started yet, and listens to the follower.
   *
   * @param log where to append
   * @param follower the reader of the same stream, not started yet
   * @param ids the ids of this process's entries, used by this appender alone
   * @param settings how to append
   * @param clock the clock of the deadlines
   * @param random where the backoff's jitter comes from
   */
  public LogAppender(
      LogService log,
      StreamFollower follower,
      EntryIdGenerator ids,
      AppendSettings settings,
      MonotonicClock clock,
      RandomGenerator random) {
    this.log = requireNonNull(log, "log");
    this.follower = requireNonNull(follower, "follower");
    this.ids = requireNonNull(ids, "ids");
    this.settings = requireNonNull(settings, "settings");
    this.clock = requireNonNull(clock, "clock");
    Backoff backoff =
        new Backoff(
            TimeUnit.MILLISECONDS.toNanos(settings.initialBackoffMillis()),
            TimeUnit.MILLISECONDS.toNanos(settings.maxBackoffMillis()),
            random);
    this.queue = new AppendQueue(settings, backoff);
    this.thread = new Thread(this::run, "append-" + follower.stream());
    thread.setDaemon(true);
    follower.addListener(new FollowerListener());
  }

  /** Starts to append. */
  public void start() {
    thread.start();
  }

  /** Appends an entry that is kept for {@link AppendSettings#entryTimeoutMillis} at the most. */
  public CompletableFuture<Result<Position>> append(String type, JsonNode body) {
    long keep = TimeUnit.MILLISECONDS.toNanos(settings.entryTimeoutMillis());
    return append(type, body, clock.nanos() + keep);
  }

  /**
   * Appends an entry; the future completes once the follower has applied it, or with a failure.
   *
   * <p>{@code LOG_UNAVAILABLE} and {@code BODY_TOO_LARGE} mean that the entry does not count and
   * never will. {@code LOG_OUTCOME_UNKNOWN} means that it may; it is settled once a later entry of
   * this appender is read back, because this one cannot count behind that.
   *
   * @param type what the entry means to the fold
   * @param body its content; must not be changed afterwards
   * @param deadline when to give up, a reading of the clock
   */
  public CompletableFuture<Result<Position>> append(String type, JsonNode body, long deadline) {
    requireNonNull(type, "type");
    requireNonNull(body, "body");
    CompletableFuture<Result<Position>> future = new CompletableFuture<>();
    if (!follower.mayAppend(type)) {
      return refused(future, "this process has not read the log far enough");
    }
    Optional<Failure> refusal;
    lock.lock();
    try {
      if (closed) {
        return refused(future, "this process is stopping");
      }
      String id = ids.next();
      Pending entry =
          new Pending(
              id,
              EntryIdGenerator.parse(id).orElseThrow().sequence(),
              RecordCodec.encodeEntry(id, type, body),
              deadline,
              future::complete);
      refusal = queue.offer(entry, clock.nanos());
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    refusal.ifPresent(failure -> future.complete(Result.failed(failure)));
    return future;
  }

  private static CompletableFuture<Result<Position>> refused(
      CompletableFuture<Result<Position>> future, String detail) {
    future.complete(Result.failed(ErrorKind.LOG_UNAVAILABLE, detail));
    return future;
  }

  /** Returns what the ids of this appender's entries start with. */
  String writerId() {
    return ids.writerId();
  }

  /** Returns how many entries are on their way. */
  public int pendingCount() {
    lock.lock();
    try {
      return queue.size();
    } finally {
      lock.unlock();
    }
  }

  /** Stops; entries that are still on their way end with a failure that says what is known. */
  @Override
  public void close() {
    List<Completion> ended;
    lock.lock();
    try {
      closed = true;
      ended = queue.failAll(clock.nanos());
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    thread.interrupt();
    ended.forEach(Completion::notifyCallback);
  }

  private void run() {
    while (true) {
      Optional<Batch> batch;
      List<Completion> expired;
      lock.lock();
      try {
        if (closed) {
          return;
        }
        long now = clock.nanos();
        expired = queue.expire(now);
        batch = queue.takeBatch(now);
        if (batch.isEmpty() && expired.isEmpty()) {
          awaitWake(now);
        }
      } catch (InterruptedException e) {
        return;
      } finally {
        lock.unlock();
      }
      expired.forEach(Completion::notifyCallback);
      batch.ifPresent(this::send);
    }
  }

  private void awaitWake(long now) throws InterruptedException {
    long wake = queue.nextWakeAt();
    if (wake == Long.MAX_VALUE) {
      changed.await();
    } else if (wake > now) {
      changed.awaitNanos(wake - now);
    }
  }

  private void send(Batch batch) {
    Result<Long> result;
    try {
      result = log.append(follower.stream(), batch.record());
    } catch (RuntimeException e) {
      // A fault of the client must not end the thread; whether the append happened is unknown.
      result = Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, e.toString());
    }
    List<Completion> ended;
    lock.lock();
    try {
      ended = queue.recordAppendResult(batch, result, clock.nanos());
    } finally {
      lock.unlock();
    }
    ended.forEach(Completion::notifyCallback);
  }

  /** Hears from the follower what stands in the stream. */
  private final class FollowerListener implements StreamListener {
    @Override
    public void entryApplied(LogEntry entry) {
      if (entry.id().startsWith(ids.writerId() + "/")) {
        lock.lock();
        try {
          queue.recordReadBack(entry.id(), entry.position()).ifPresent(pendingCompletions::add);
        } finally {
          lock.unlock();
        }
      }
    }

    @Override
    public void restored(StreamSnapshot snapshot) {
      long passed =
          WriterSequences.fromJson(snapshot.writerSequences()).lastSequence(ids.writerId());
      lock.lock();
      try {
        pendingCompletions.addAll(queue.recordSkippedThrough(passed));
      } finally {
        lock.unlock();
      }
    }

    @Override
    public void historyReplaced(HistoryReplacementPolicy reaction, String detail) {
      lock.lock();
      try {
        pendingCompletions.addAll(queue.historyReplaced());
      } finally {
        lock.unlock();
      }
    }

    @Override
    public void pageApplied(StreamStatus status) {
      // Told only now, so that whoever waits finds the follower at least where its entry stands.
      List<Completion> told = List.copyOf(pendingCompletions);
      pendingCompletions.clear();
      told.forEach(Completion::notifyCallback);
      if (status.caughtUp()) {
        lock.lock();
        try {
          queue.recordEndOfStream();
          changed.signalAll();
        } finally {
          lock.unlock();
        }
      }
    }
  }
}
