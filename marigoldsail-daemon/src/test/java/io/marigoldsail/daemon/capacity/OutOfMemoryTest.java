package io.marigoldsail.daemon.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class OutOfMemoryTest {
  private static List<Integer> exitsAfter(Throwable error) {
    List<Integer> exits = new ArrayList<>();
    OutOfMemory.exitIfCause(error, exits::add);
    return exits;
  }

  /** Guards against a process that lives on without memory, and answers nobody. */
  @Test
  void lackOfMemoryEndsTheProcessHoweverItIsWrapped() {
    OutOfMemoryError error = new OutOfMemoryError("direct buffer");
    assertEquals(List.of(OutOfMemory.EXIT_STATUS), exitsAfter(error));
    assertEquals(
        List.of(OutOfMemory.EXIT_STATUS),
        exitsAfter(new IllegalStateException(new IOException(error))));
  }

  @Test
  void otherErrorsDoNot() {
    assertEquals(List.of(), exitsAfter(new StackOverflowError()));
    Exception first = new Exception("first");
    first.initCause(new Exception("second", first));
    assertEquals(List.of(), exitsAfter(first));
  }
}
