package io.marigoldsail.daemon.capacity;

import java.util.function.IntConsumer;

/**
 * Ends a process that is out of memory, so that it is started again and its work goes elsewhere.
 *
 * <p>The JVM's flag {@code ExitOnOutOfMemoryError} does so for the heap. Memory outside of it is
 * allocated by libraries, whose errors look like any others: the process would live on and answer
 * nobody, while its leases and memberships go on.
 */
public final class OutOfMemory {
  /** The exit status that the JVM uses for the same. */
  public static final int EXIT_STATUS = 3;

  private static final int MAX_CAUSES = 16;

  private OutOfMemory() {}

  /** Ends the process if the error, or one that caused it, says that it is out of memory. */
  public static void exitIfCause(Throwable error) {
    exitIfCause(error, Runtime.getRuntime()::halt);
  }

  static void exitIfCause(Throwable error, IntConsumer exit) {
    Throwable cause = error;
    for (int depth = 0; cause != null && depth < MAX_CAUSES; depth++) {
      if (cause instanceof OutOfMemoryError) {
        System.err.println("out of memory: " + cause.getMessage());
        exit.accept(EXIT_STATUS);
        return;
      }
      cause = cause.getCause();
    }
  }
}
