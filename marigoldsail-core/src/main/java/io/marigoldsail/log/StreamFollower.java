package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.RecordCodec.SkipReason;
import io.marigoldsail.log.StreamCursor.ReadMode;
import io.marigoldsail.time.MonotonicClock;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Reads one stream on its own thread and folds it into state, from its beginning or from a
 * snapshot.
 *
 * <p>Continues through outages (with backoff), duplicates, unreadable records and expired records.
 * If records expire unread, keeps the old state until it finds a snapshot, and reports this in its
 * status. Safe for any thread. Rejects nulls. Memory is bounded by one page of records and the
 * fold's state, also during an outage. Example:
 *
 * <pre>{@code
 * StreamFollower follower =
 *     new StreamFollower(log, "configuration", fold, FollowerSettings.usual(), clock, random);
 * follower.start();
 * }</pre>
 */
public final class StreamFollower implements AutoCloseable {
  private static final Logger LOGGER = System.getLogger(StreamFollower.class.getName());
  private static final int MAX_SKIPS_LOGGED = 10;

  private final LogService log;
  private final String stream;
  private final FollowerSettings settings;
  private final MonotonicClock clock;
  private final Backoff backoff;
  private final List<StreamListener> listeners = new CopyOnWriteArrayList<>();
  private final StreamCursor cursor;
  private final Thread thread;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition progress = lock.newCondition();
  private long nextReadAt = Long.MIN_VALUE;
  private long nextWaitAt = Long.MIN_VALUE;

  /**
   * Whether a snapshot is being restored: the state is newer than the published status, and
   * listeners may already act on it.
   */
  private volatile boolean restoring;

  private volatile boolean closed;
  private volatile StreamStatus status;

  /**
   * Creates a follower that is not started yet.
   *
   * @param log the log to read from
   * @param stream the stream's name
   * @param fold the empty state; called by the follower only
   * @param settings limits and timing
   * @param clock the clock of the deadlines
   * @param random the source of the backoff's jitter
   */
  public StreamFollower(
      LogService log,
      String stream,
      Fold fold,
      FollowerSettings settings,
      MonotonicClock clock,
      RandomGenerator random) {
    this.log = requireNonNull(log, "log");
    this.stream = requireNonNull(stream, "stream");
    this.settings = requireNonNull(settings, "settings");
    this.clock = requireNonNull(clock, "clock");
    this.backoff =
        new Backoff(
            TimeUnit.MILLISECONDS.toNanos(settings.initialBackoffMillis()),
            TimeUnit.MILLISECONDS.toNanos(settings.maxBackoffMillis()),
            random);
    this.cursor =
        new StreamCursor(
            requireNonNull(fold, "fold"),
            settings.startEmptyAfterExpiry(),
            new ListenerDispatcher(),
            this::logSkip);
    this.status = cursor.status(false);
    this.thread = new Thread(this::run, "follow-" + stream);
    thread.setDaemon(true);
  }

  /** Adds a listener; one added before {@link #start} receives every call. */
  public void addListener(StreamListener listener) {
    listeners.add(requireNonNull(listener, "listener"));
  }

  /**
   * Restores a snapshot received from a peer, for a process that starts during a log outage. Must
   * be called before {@link #start}.
   *
   * @return whether the snapshot was valid; if not, nothing changed
   */
  public boolean seed(StreamSnapshot snapshot) {
    if (thread.isAlive()) {
      throw new IllegalStateException("follower of stream " + stream + " is already started");
    }
    boolean restored = cursor.restore(requireNonNull(snapshot, "snapshot"));
    status = cursor.status(false);
    return restored;
  }

  /** Starts the follower's thread. */
  public void start() {
    thread.start();
  }

  /** Returns the stream's name. */
  public String stream() {
    return stream;
  }

  /** Returns the current status. */
  public StreamStatus status() {
    return status;
  }

  /** Returns the offset that is applied next; all records before it are in the state. */
  public long appliedOffset() {
    return status.appliedOffset();
  }

  /**
   * Waits until {@link #appliedOffset} is at least an offset.
   *
   * @param offset the offset to wait for
   * @param deadline when to give up, as a reading of the clock in nanoseconds
   * @return whether it was reached in time
   * @throws InterruptedException if the calling thread is interrupted
   */
  public boolean awaitApplied(long offset, long deadline) throws InterruptedException {
    lock.lock();
    try {
      long remaining = deadline - clock.nanos();
      while (status.appliedOffset() < offset && remaining > 0 && !closed) {
        progress.awaitNanos(remaining);
        remaining = deadline - clock.nanos();
      }
      return status.appliedOffset() >= offset;
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether this process may append an entry of the type in its current state. */
  boolean mayAppend(String type) {
    StreamStatus now = status;
    boolean offeredSnapshot = now.offeringSnapshot() && type.equals(SnapshotParts.TYPE);
    return !now.seekingSnapshot() || restoring || offeredSnapshot;
  }

  /** Returns the state at {@link #appliedOffset}; only for listeners, within a callback. */
  StreamSnapshot snapshotInCallback() {
    return cursor.snapshot();
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    lock.lock();
    try {
      progress.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private void run() {
    while (!closed) {
      ReadMode mode = cursor.nextReadMode();
      Result<LogPage> result = read(mode);
      if (closed) {
        return;
      }
      if (result instanceof Result.Failed<LogPage> failed) {
        handleFailure(failed.failure().detail());
      } else {
        handlePage(mode, result.value());
      }
    }
  }

  private Result<LogPage> read(ReadMode mode) {
    long now = clock.nanos();
    long due = mode.waits() ? nextWaitAt : nextReadAt;
    if (now < due) {
      sleep(due - now);
    }
    long intervalMillis =
        cursor.isHalted() ? settings.maxBackoffMillis() : settings.minIntervalMillis();
    long next = Math.max(now, due) + TimeUnit.MILLISECONDS.toNanos(intervalMillis);
    if (mode.waits()) {
      nextWaitAt = next;
    } else {
      nextReadAt = next;
    }
    try {
      return log.read(
          stream,
          cursor.offsetOf(mode),
          mode.maxRecords(settings.pageRecords()),
          mode.waits() ? settings.waitMillis() : 0);
    } catch (RuntimeException e) {
      // An exception of the client must not end the thread: the state would become stale.
      return Result.failed(ErrorKind.INTERNAL, e.toString());
    }
  }

  private void handlePage(ReadMode mode, LogPage page) {
    if (backoff.isFailing()) {
      backoff.recordSuccess();
      notifyListeners(StreamListener::outageEnded);
    }
    StreamStatus before = status;
    cursor.accept(mode, page);
    publishStatus(false);
    StreamStatus now = status;
    boolean expired = now.historyReplacementCount() == before.historyReplacementCount();
    if (expired && now.seekingSnapshot() && !before.seekingSnapshot()) {
      LOGGER.log(
          Level.WARNING,
          "event=log-records-expired-unread stream={0} applied={1,number,#} first={2,number,#}",
          stream,
          now.appliedOffset(),
          now.firstOffset());
    }
    notifyListeners(listener -> listener.pageApplied(now));
  }

  private void handleFailure(String detail) {
    if (!backoff.isFailing()) {
      notifyListeners(listener -> listener.outageBegan(detail));
    }
    cursor.recordReadFailure();
    publishStatus(true);
    sleep(backoff.recordFailure());
  }

  private void publishStatus(boolean outage) {
    lock.lock();
    try {
      status = cursor.status(outage);
      restoring = false;
      progress.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private void sleep(long nanos) {
    lock.lock();
    try {
      long remaining = nanos;
      while (remaining > 0 && !closed) {
        remaining = progress.awaitNanos(remaining);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      lock.unlock();
    }
  }

  private void notifyListeners(Consumer<StreamListener> call) {
    for (StreamListener listener : listeners) {
      try {
        call.accept(listener);
      } catch (RuntimeException e) {
        // An exception of one listener must not stop the fold and the other listeners.
        LOGGER.log(Level.ERROR, "event=log-listener-failed stream=" + stream, e);
      }
    }
  }

  private void logSkip(long offset, SkipReason reason, long count) {
    if (count <= MAX_SKIPS_LOGGED || Long.bitCount(count) == 1) {
      LOGGER.log(
          Level.WARNING,
          "event=log-record-skipped stream={0} offset={1,number,#} reason={2} count={3,number,#}",
          stream,
          offset,
          reason,
          count);
    }
  }

  /** Passes the cursor's notifications to all listeners. */
  private final class ListenerDispatcher implements StreamListener {
    @Override
    public void entryApplied(LogEntry entry) {
      notifyListeners(listener -> listener.entryApplied(entry));
    }

    @Override
    public void snapshotRead(long nextOffset) {
      notifyListeners(listener -> listener.snapshotRead(nextOffset));
    }

    @Override
    public void snapshotPartRead() {
      notifyListeners(StreamListener::snapshotPartRead);
    }

    @Override
    public void historyReplaced(HistoryReplacementPolicy reaction, String detail) {
      LOGGER.log(
          Level.WARNING,
          "event=log-history-replaced stream={0} applied={1,number,#} reaction={2} detail=\"{3}\"",
          stream,
          status.appliedOffset(),
          reaction,
          detail);
      notifyListeners(listener -> listener.historyReplaced(reaction, detail));
    }

    @Override
    public void historyReturned() {
      LOGGER.log(Level.INFO, "event=log-history-returned stream={0}", stream);
      notifyListeners(StreamListener::historyReturned);
    }

    @Override
    public void restoring() {
      restoring = true;
    }

    @Override
    public void restored(StreamSnapshot snapshot) {
      LOGGER.log(
          Level.INFO,
          "event=log-state-restored stream={0} through={1,number,#}",
          stream,
          snapshot.nextOffset());
      notifyListeners(listener -> listener.restored(snapshot));
    }
  }
}
