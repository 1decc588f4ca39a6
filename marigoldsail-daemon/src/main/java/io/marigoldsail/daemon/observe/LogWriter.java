package io.marigoldsail.daemon.observe;

import static java.util.Objects.requireNonNull;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log records to a stream from a thread of its own, so that a stream that nobody reads
 * delays no thread that logs.
 *
 * <p>Records wait in a {@link LogQueue}. The first of them waits up to {@link #BATCH_DELAY_MILLIS}
 * for more, so that many lines cost one write; an error, a warning or a queue that is half full is
 * written at once. What was logged in the last of these spans is lost when the process is killed.
 * The lines of one thread keep their order, and their times are those of the logging.
 *
 * <p>Safe for any thread. Rejects nulls.
 */
public final class LogWriter extends Handler {
  /** How many lines wait at most. */
  static final int MAX_QUEUED_LINES = 4_096;

  /** How much memory lines that wait take at most, in bytes. */
  static final int MAX_QUEUED_BYTES = 2 << 20;

  /** How many lines are written at a time; as many are out of the queue while a write blocks. */
  static final int MAX_LINES_PER_WRITE = 64;

  /** How long a line waits for others, in milliseconds. */
  static final long BATCH_DELAY_MILLIS = 100;

  private static final long BATCH_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(BATCH_DELAY_MILLIS);

  /** How long the end of a process waits for the rest to be written, in milliseconds. */
  private static final long CLOSE_TIMEOUT_MILLIS = 500;

  private final KeyValueFormatter formatter;
  private final PrintStream out;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition recordsAvailable = lock.newCondition();
  private final Condition allWritten = lock.newCondition();
  private final LogQueue queue;
  private boolean writing;
  private boolean flushRequested;

  private LogWriter(KeyValueFormatter formatter, PrintStream out, LogQueue queue) {
    this.formatter = requireNonNull(formatter, "formatter");
    this.out = requireNonNull(out, "out");
    this.queue = requireNonNull(queue, "queue");
  }

  /**
   * Returns a writer whose thread runs; the thread does not keep the process from ending.
   *
   * @param process the process's name
   * @param out where the lines go; only this writer's thread touches it
   */
  public static LogWriter start(String process, PrintStream out) {
    LogWriter writer =
        new LogWriter(
            new KeyValueFormatter(process), out, new LogQueue(MAX_QUEUED_LINES, MAX_QUEUED_BYTES));
    writer.setLevel(Level.ALL);
    Thread thread = new Thread(writer::writeLoop, "log-writer");
    thread.setDaemon(true);
    thread.start();
    return writer;
  }

  @Override
  public void publish(LogRecord logRecord) {
    if (!isLoggable(logRecord)) {
      return;
    }
    LogRecord settled = formatter.preformat(logRecord);
    lock.lock();
    try {
      boolean idle = queue.isEmpty();
      queue.add(settled);
      boolean hurries =
          !flushRequested
              && (LogQueue.Severity.of(settled) != LogQueue.Severity.INFO || queue.isHalfFull());
      flushRequested |= hurries;
      if (idle || hurries) {
        recordsAvailable.signal();
      }
    } finally {
      lock.unlock();
    }
  }

  /** Has all that was logged written soon, without waiting for it. */
  @Override
  public void flush() {
    lock.lock();
    try {
      flushRequested = true;
      recordsAvailable.signal();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until all is written, for half a second at most; what is logged later is still written.
   */
  @Override
  public void close() {
    awaitWritten(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS));
  }

  /**
   * Waits until all that was logged is written.
   *
   * @param deadline when to give up, by {@link System#nanoTime}
   * @return whether all is written
   */
  boolean awaitWritten(long deadline) {
    lock.lock();
    try {
      flushRequested = true;
      recordsAvailable.signal();
      long left = deadline - System.nanoTime();
      while (!isAllWritten() && left > 0) {
        left = allWritten.awaitNanos(left);
      }
      return isAllWritten();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      lock.unlock();
    }
  }

  private boolean isAllWritten() {
    return queue.isEmpty() && !writing;
  }

  private void writeLoop() {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    while (true) {
      for (LogRecord logRecord : awaitBatch()) {
        text.writeBytes(formatter.format(logRecord).getBytes(StandardCharsets.UTF_8));
      }
      out.write(text.toByteArray(), 0, text.size());
      text.reset();
      if (isQueueEmpty()) {
        out.flush();
      }
    }
  }

  private boolean isQueueEmpty() {
    lock.lock();
    try {
      return queue.isEmpty();
    } finally {
      lock.unlock();
    }
  }

  private List<LogRecord> awaitBatch() {
    lock.lock();
    try {
      writing = false;
      if (queue.isEmpty()) {
        flushRequested = false;
        allWritten.signalAll();
        awaitFirstRecord();
        awaitBatchDelay();
      }
      writing = true;
      return queue.take(MAX_LINES_PER_WRITE);
    } finally {
      lock.unlock();
    }
  }

  private void awaitFirstRecord() {
    while (queue.isEmpty()) {
      recordsAvailable.awaitUninterruptibly();
    }
  }

  private void awaitBatchDelay() {
    long deadline = System.nanoTime() + BATCH_DELAY_NANOS;
    try {
      for (long left = BATCH_DELAY_NANOS;
          !flushRequested && left > 0;
          left = deadline - System.nanoTime()) {
        recordsAvailable.awaitNanos(left);
      }
    } catch (InterruptedException e) {
      // Nobody interrupts this thread; what was gathered so far is written.
      flushRequested = true;
    }
  }
}
