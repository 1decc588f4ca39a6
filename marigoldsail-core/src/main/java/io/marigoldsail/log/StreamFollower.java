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
 * Folds one stream into state, in a thread of its own, from its beginning or a snapshot.
 *
 * <p>Reads on through outages (with backoff), copies, records that it cannot read, and expiry;
 * after an expiry it goes on with its old state until it finds a snapshot, and says so. Safe for
 * any thread. Rejects nulls. Holds one page of records and the fold's state, nothing that grows
 * with an outage. Example:
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

  /** Whether the state is newer than the status tells; others may act on the state already. */
  private volatile boolean restoring;

  private volatile boolean closed;
  private volatile StreamStatus status;

  /**
   * Creates a follower that is not started yet.
   *
   * @param log where to read
   * @param stream the stream's name
   * @param fold the state, still empty; from now on called by the follower alone
   * @param settings how to read
   * @param clock what {@link #awaitApplied} measures by
   * @param random where the backoff's jitter comes from
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

  /** Adds a listener; call it before {@link #start} to miss nothing. */
  public void addListener(StreamListener listener) {
    listeners.add(requireNonNull(listener, "listener"));
  }

  /**
   * Starts from a snapshot that a peer gave, for a process that starts while the log is down. Only
   * before {@link #start}.
   *
   * @return whether the snapshot made sense; if not, nothing changed
   */
  public boolean seed(StreamSnapshot snapshot) {
    if (thread.isAlive()) {
      throw new IllegalStateException("follower of " + stream + " runs already");
    }
    boolean restored = cursor.restore(requireNonNull(snapshot, "snapshot"));
    status = cursor.status(false);
    return restored;
  }

  /** Starts to read. */
  public void start() {
    thread.start();
  }

  /** Returns the stream's name. */
  public String stream() {
    return stream;
  }

  /** Returns how far this is. */
  public StreamStatus status() {
    return status;
  }

  /** Returns the offset that is applied next; all before it are in the fold. */
  public long appliedOffset() {
    return status.appliedOffset();
  }

  /**
   * Waits until {@link #appliedOffset} is at least an offset.
   *
   * @param offset the offset to wait for
   * @param deadline when to give up, a reading of the clock
   * @return whether it was reached in time
   * @throws InterruptedException if the calling thread is interrupted
   */
  public boolean awaitApplied(long offset, long deadline) throws InterruptedException {
    lock.lock();
    try {
      long left = deadline - clock.nanos();
      while (status.appliedOffset() < offset && left > 0 && !closed) {
        progress.awaitNanos(left);
        left = deadline - clock.nanos();
      }
      return status.appliedOffset() >= offset;
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether an entry of the type may be appended by a process that has read so far. */
  boolean mayAppend(String type) {
    StreamStatus now = status;
    boolean offer = now.offeringSnapshot() && type.equals(SnapshotParts.TYPE);
    return !now.seekingSnapshot() || restoring || offer;
  }

  /**
   * Returns the state at {@link #appliedOffset}; only to be called by a listener, in its callback.
   */
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
      ReadMode asked = cursor.nextReadMode();
      Result<LogPage> result = read(asked);
      if (closed) {
        return;
      }
      if (result instanceof Result.Failed<LogPage> failed) {
        handleFailure(failed.failure().detail());
      } else {
        handlePage(asked, result.value());
      }
    }
  }

  private Result<LogPage> read(ReadMode asked) {
    long now = clock.nanos();
    long due = asked.waits() ? nextWaitAt : nextReadAt;
    if (now < due) {
      sleep(due - now);
    }
    long pace = cursor.isHalted() ? settings.maxBackoffMillis() : settings.minIntervalMillis();
    long next = Math.max(now, due) + TimeUnit.MILLISECONDS.toNanos(pace);
    if (asked.waits()) {
      nextWaitAt = next;
    } else {
      nextReadAt = next;
    }
    try {
      return log.read(
          stream,
          cursor.offsetOf(asked),
          asked.maxRecords(settings.pageRecords()),
          asked.waits() ? settings.waitMillis() : 0);
    } catch (RuntimeException e) {
      // A fault of the client must not end the thread: the process would run on with old state.
      return Result.failed(ErrorKind.INTERNAL, e.toString());
    }
  }

  private void handlePage(ReadMode asked, LogPage page) {
    if (backoff.isFailing()) {
      backoff.recordSuccess();
      notifyListeners(StreamListener::outageEnded);
    }
    StreamStatus before = status;
    cursor.accept(asked, page);
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
      long left = nanos;
      while (left > 0 && !closed) {
        left = progress.awaitNanos(left);
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
        // A fault of one listener must not stop the stream for the fold and for the others.
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

  /** Hands what the cursor tells to all listeners. */
  private final class ListenerDispatcher implements StreamListener {
    @Override
    public void entryApplied(LogEntry entry) {
      notifyListeners(listener -> listener.entryApplied(entry));
    }

    @Override
    public void snapshotRead(long through) {
      notifyListeners(listener -> listener.snapshotRead(through));
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
