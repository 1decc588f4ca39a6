package io.marigoldsail.daemon.observe;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A stream that nobody reads until it is released: writes block. A thread that would block for good
 * releases it itself after a while, and is told of.
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

  /** Returns a stream that passes on each write at once. */
  public PrintStream asPrintStream() {
    return new PrintStream(this, true, StandardCharsets.UTF_8);
  }

  /** Waits until a write blocks, and returns whether one does. */
  public boolean awaitBlockedWrite() {
    return awaitLatch(writeBlocked);
  }

  /** Lets writes through from now on. */
  public void release() {
    released.countDown();
  }

  /** Returns whether a write went on without being released. */
  public boolean isTimedOut() {
    return timedOut;
  }

  /** Returns what was written. */
  public List<String> lines() {
    synchronized (written) {
      return written.toString(StandardCharsets.UTF_8).lines().toList();
    }
  }
}
