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
public final class BlockedStream extends OutputStream {
  private static final long PATIENCE_SECONDS = 20;

  private final CountDownLatch reached = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private volatile boolean patienceLost;

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
    reached.countDown();
    if (!isDown(released)) {
      patienceLost = true;
      release();
    }
  }

  private static boolean isDown(CountDownLatch latch) {
    try {
      return latch.await(PATIENCE_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns a stream that passes on each write at once. */
  public PrintStream printed() {
    return new PrintStream(this, true, StandardCharsets.UTF_8);
  }

  /** Waits until a write blocks, and returns whether one does. */
  public boolean awaitReached() {
    return isDown(reached);
  }

  /** Lets writes through from now on. */
  public void release() {
    released.countDown();
  }

  /** Returns whether a write went on without being released. */
  public boolean isPatienceLost() {
    return patienceLost;
  }

  /** Returns what was written. */
  public List<String> lines() {
    synchronized (written) {
      return written.toString(StandardCharsets.UTF_8).lines().toList();
    }
  }
}
