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
 * Appends entries to one stream exactly once and reports the position of each.
 *
 * <p>Use one instance per process and stream. Entries that are appended in quick succession share a
 * platform record. Safe for any thread. Rejects nulls. Pending entries and their bytes are bounded,
 * also during an outage. Futures complete on the follower's or the appender's thread, so dependent
 * stages must be short.
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

  /**
   * Completions of entries in the page that is being applied; used by the follower's thread only.
   */
  private final List<Completion> pendingCompletions = new ArrayList<>();

  private boolean closed;

  /**
   * Creates an appender, not started yet, and registers it with the follower.
   *
   * @param log the log to append to
   * @param follower the reader of the same stream, not started yet
   * @param ids generates entry ids; used by this appender only
   * @param settings limits and timing
   * @param clock the clock of the deadlines
   * @param random the source of the backoff's jitter
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

  /** Starts the appender's thread. */
  public void start() {
    thread.start();
  }

  /** Appends an entry with the timeout {@link AppendSettings#entryTimeoutMillis}. */
  public CompletableFuture<Result<Position>> append(String type, JsonNode body) {
    long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(settings.entryTimeoutMillis());
    return append(type, body, clock.nanos() + timeoutNanos);
  }

  /**
   * Appends an entry. The future completes when the follower has applied it, or with a failure.
   *
   * <p>{@code LOG_UNAVAILABLE} and {@code BODY_TOO_LARGE} mean that the entry is not stored and
   * never will be. {@code LOG_OUTCOME_UNKNOWN} means that it may be. Its outcome is final once a
   * later entry of this appender has been read back, because readers drop an entry that follows a
   * later one.
   *
   * @param type the entry type, interpreted by the fold
   * @param body the content; must not be changed afterwards
   * @param deadline when to give up, as a reading of the clock in nanoseconds
   */
  public CompletableFuture<Result<Position>> append(String type, JsonNode body, long deadline) {
    requireNonNull(type, "type");
    requireNonNull(body, "body");
    CompletableFuture<Result<Position>> future = new CompletableFuture<>();
    if (!follower.mayAppend(type)) {
      return refused(future, "stream is not read up to a usable state yet");
    }
    Optional<Failure> refusal;
    lock.lock();
    try {
      if (closed) {
        return refused(future, "appender is closed because the process is stopping");
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

  /** Returns the common prefix of this appender's entry ids. */
  String writerId() {
    return ids.writerId();
  }

  /** Returns the number of entries that have not completed. */
  public int pendingCount() {
    lock.lock();
    try {
      return queue.size();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Stops the appender. Pending entries complete with a failure that says whether they may be
   * stored.
   */
  @Override
  public void close() {
    List<Completion> completions;
    lock.lock();
    try {
      closed = true;
      completions = queue.failAll(clock.nanos());
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    thread.interrupt();
    completions.forEach(Completion::notifyCallback);
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
      // An exception of the client must not end the thread; the outcome of the append is unknown.
      result = Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, e.toString());
    }
    List<Completion> completions;
    lock.lock();
    try {
      completions = queue.recordAppendResult(batch, result, clock.nanos());
    } finally {
      lock.unlock();
    }
    completions.forEach(Completion::notifyCallback);
  }

  /** Completes entries as the follower reads them. */
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
      long sequence =
          WriterSequences.fromJson(snapshot.writerSequences()).lastSequence(ids.writerId());
      lock.lock();
      try {
        pendingCompletions.addAll(queue.recordSkippedThrough(sequence));
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
      // Completed after the page, so that the follower has applied the entry for any waiter.
      List<Completion> completions = List.copyOf(pendingCompletions);
      pendingCompletions.clear();
      completions.forEach(Completion::notifyCallback);
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
