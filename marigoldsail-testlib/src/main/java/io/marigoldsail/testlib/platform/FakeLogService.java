package io.marigoldsail.testlib.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.LogPage;
import io.marigoldsail.log.LogRecord;
import io.marigoldsail.log.LogService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An in-memory log service with injectable faults.
 *
 * <p>Thread-safe. Blocks the calling thread only while a read waits, if {@code slowMillis} is set,
 * and to keep to {@code appendsPerSecond}. Rejects nulls.
 */
public final class FakeLogService implements LogService {
  /** The requests served so far, for tests that measure the load on the service. */
  public record Counts(long appends, long appendedBytes, long reads, long readBytes) {}

  private static final class Stream {
    private final List<byte[]> records = new ArrayList<>();
    private long firstOffset;

    private long nextOffset() {
      return firstOffset + records.size();
    }
  }

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Map<String, Stream> streams = new HashMap<>();
  private LogFaults faults = LogFaults.none();
  private long nextAppendNanos;
  private Counts counts = new Counts(0, 0, 0, 0);

  /** Creates an empty service without faults. */
  public FakeLogService() {
    this.nextAppendNanos = System.nanoTime();
  }

  /** Returns the current faults. */
  public LogFaults faults() {
    lock.lock();
    try {
      return faults;
    } finally {
      lock.unlock();
    }
  }

  /** Replaces the faults; wakes up waiting readers. */
  public void setFaults(LogFaults newFaults) {
    requireNonNull(newFaults, "newFaults");
    lock.lock();
    try {
      faults = newFaults;
      streams.values().forEach(this::expire);
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Removes the newest records of every stream, like a platform that was restored from an old copy.
   * A stream with no more than {@code count} records becomes empty and restarts at offset 0.
   */
  public void truncateNewest(int count) {
    lock.lock();
    try {
      for (Stream stream : streams.values()) {
        int retained = Math.max(0, stream.records.size() - count);
        stream.records.subList(retained, stream.records.size()).clear();
        stream.firstOffset = retained == 0 ? 0 : stream.firstOffset;
      }
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the counts of requests served so far. */
  public Counts counts() {
    lock.lock();
    try {
      return counts;
    } finally {
      lock.unlock();
    }
  }

  /** Returns the offset of the next append to the stream, regardless of faults. */
  public long nextOffset(String stream) {
    lock.lock();
    try {
      return stream(stream).nextOffset();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the oldest retained offset of the stream. */
  public long firstOffset(String stream) {
    lock.lock();
    try {
      return stream(stream).firstOffset;
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Result<Long> append(String stream, byte[] record) {
    requireNonNull(stream, "stream");
    requireNonNull(record, "record");
    lock.lock();
    try {
      awaitInjectedDelay(true);
      if (faults.down()) {
        return Result.failed(ErrorKind.LOG_UNAVAILABLE, "log service is down");
      }
      long offset = store(stream, record);
      if (faults.doubleAppends() != 0) {
        store(stream, record);
        faults = faults.withDoubleAppends(decrement(faults.doubleAppends()));
      }
      changed.signalAll();
      if (faults.loseAnswers() != 0) {
        faults = faults.withLoseAnswers(decrement(faults.loseAnswers()));
        return Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, "response to append lost");
      }
      return Result.ok(offset);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Result.failed(ErrorKind.LOG_UNAVAILABLE, "interrupted");
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Result<LogPage> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
    requireNonNull(stream, "stream");
    checkArgument(maxRecords >= 0, "maxRecords is negative: %s", maxRecords);
    lock.lock();
    try {
      awaitInjectedDelay(false);
      long remainingNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
      while (!faults.down() && fromOffset >= visibleEnd(stream(stream)) && remainingNanos > 0) {
        remainingNanos = changed.awaitNanos(remainingNanos);
      }
      if (faults.down()) {
        return Result.failed(ErrorKind.LOG_UNAVAILABLE, "log service is down");
      }
      return Result.ok(page(stream(stream), fromOffset, maxRecords));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Result.failed(ErrorKind.LOG_UNAVAILABLE, "interrupted");
    } finally {
      lock.unlock();
    }
  }

  private LogPage page(Stream stream, long fromOffset, int maxRecords) {
    long end = visibleEnd(stream);
    long offset = Math.max(fromOffset, stream.firstOffset);
    List<LogRecord> found = new ArrayList<>();
    long bytes = 0;
    while (offset < end && found.size() < maxRecords) {
      byte[] record = stream.records.get((int) (offset - stream.firstOffset));
      found.add(new LogRecord(offset, record));
      bytes += record.length;
      offset++;
    }
    counts =
        new Counts(
            counts.appends(), counts.appendedBytes(), counts.reads() + 1, counts.readBytes + bytes);
    return new LogPage(found, stream.firstOffset, end);
  }

  private long store(String name, byte[] record) {
    Stream stream = stream(name);
    long offset = stream.nextOffset();
    stream.records.add(record.clone());
    expire(stream);
    counts =
        new Counts(
            counts.appends() + 1,
            counts.appendedBytes() + record.length,
            counts.reads(),
            counts.readBytes());
    return offset;
  }

  private void expire(Stream stream) {
    int excess = stream.records.size() - faults.retainedRecords();
    if (faults.retainedRecords() > 0 && excess > 0) {
      stream.records.subList(0, excess).clear();
      stream.firstOffset += excess;
    }
  }

  private Stream stream(String name) {
    return streams.computeIfAbsent(name, unused -> new Stream());
  }

  private long visibleEnd(Stream stream) {
    return Math.max(stream.firstOffset, stream.nextOffset() - faults.staleRecords());
  }

  private void awaitInjectedDelay(boolean append) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(faults.slowMillis());
    if (append && faults.appendsPerSecond() > 0) {
      nextAppendNanos =
          Math.max(nextAppendNanos, System.nanoTime())
              + TimeUnit.SECONDS.toNanos(1) / faults.appendsPerSecond();
      until = Math.max(until, nextAppendNanos);
    }
    LogFaults initialFaults = faults;
    long remainingNanos = until - System.nanoTime();
    while (remainingNanos > 0 && faults.slowMillis() == initialFaults.slowMillis()) {
      remainingNanos = changed.awaitNanos(remainingNanos);
    }
  }

  private static int decrement(int count) {
    return count < 0 ? count : count - 1;
  }
}
