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
 * Writes log records to a stream on a separate thread, so that a stream that blocks does not delay
 * the threads that log.
 *
 * <p>Records are held in a {@link LogQueue} for up to {@link #BATCH_DELAY_MILLIS}, so that many
 * lines are written in one call. An error, a warning or a half-full queue is written immediately.
 * Records logged within that delay before the process is killed are lost. The lines of one thread
 * keep their order and have the time of logging.
 *
 * <p>Thread-safe. Rejects nulls.
 */
public final class LogWriter extends Handler {
  /** The maximum number of queued lines. */
  static final int MAX_QUEUED_LINES = 4_096;

  /** The maximum memory of queued lines, in bytes. */
  static final int MAX_QUEUED_BYTES = 2 << 20;

  /** The maximum number of lines per write; held outside the queue while a write blocks. */
  static final int MAX_LINES_PER_WRITE = 64;

  /** How long the first queued line is delayed to batch it with others, in milliseconds. */
  static final long BATCH_DELAY_MILLIS = 100;

  private static final long BATCH_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(BATCH_DELAY_MILLIS);

  /** How long {@link #close} waits for queued lines to be written, in milliseconds. */
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
   * Creates a writer and starts its daemon thread.
   *
   * @param process the process's name
   * @param out the stream to write to; used by the writer's thread only
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
    LogRecord preformatted = formatter.preformat(logRecord);
    lock.lock();
    try {
      boolean idle = queue.isEmpty();
      queue.add(preformatted);
      boolean flushNow =
          !flushRequested
              && (LogQueue.Severity.of(preformatted) != LogQueue.Severity.INFO
                  || queue.isHalfFull());
      flushRequested |= flushNow;
      if (idle || flushNow) {
        recordsAvailable.signal();
      }
    } finally {
      lock.unlock();
    }
  }

  /** Requests that all queued lines are written without delay. Does not wait for it. */
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
   * Waits up to half a second until all queued lines are written. Records published later are still
   * written.
   */
  @Override
  public void close() {
    awaitWritten(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS));
  }

  /**
   * Waits until all queued lines are written.
   *
   * @param deadline when to stop waiting, as a value of {@link System#nanoTime}
   * @return whether all lines are written
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
      // Not expected on this thread; the lines queued so far are written immediately.
      flushRequested = true;
    }
  }
}
