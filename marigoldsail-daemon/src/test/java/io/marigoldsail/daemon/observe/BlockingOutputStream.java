package io.marigoldsail.daemon.observe;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A stream whose writes block until {@link #release} is called. A write that blocks for too long
 * releases the stream itself, which {@link #isTimedOut} reports.
 */
public final class BlockingOutputStream extends OutputStream {
  private static final long TIMEOUT_SECONDS = 20;

  private final CountDownLatch writeBlocked = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private volatile boolean timedOut;

  @Override
  public void write(int oneByte) {
    write(new byte[] {(byte) oneByte}, 0, 1);
  }

  @Override
  public void write(byte[] bytes, int offset, int length) {
    awaitRelease();
    synchronized (written) {
      written.write(bytes, offset, length);
    }
  }

  private void awaitRelease() {
    writeBlocked.countDown();
    if (!awaitLatch(released)) {
      timedOut = true;
      release();
    }
  }

  private static boolean awaitLatch(CountDownLatch latch) {
    try {
      return latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns a print stream that writes to this stream without buffering. */
  public PrintStream asPrintStream() {
    return new PrintStream(this, true, StandardCharsets.UTF_8);
  }

  /** Waits until a write blocks. Returns false on timeout. */
  public boolean awaitBlockedWrite() {
    return awaitLatch(writeBlocked);
  }

  /** Unblocks all current and later writes. */
  public void release() {
    released.countDown();
  }

  /** Returns whether a write timed out before the stream was released. */
  public boolean isTimedOut() {
    return timedOut;
  }

  /** Returns the written lines. */
  public List<String> lines() {
    synchronized (written) {
      return written.toString(StandardCharsets.UTF_8).lines().toList();
    }
  }
}
