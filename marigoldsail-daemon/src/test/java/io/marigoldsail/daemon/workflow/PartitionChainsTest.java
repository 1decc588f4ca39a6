package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What goes on in a partition after one step of it threw. */
class PartitionChainsTest {
  private final VirtualLoop time = new VirtualLoop();
  private final VirtualStore store = new VirtualStore(time);

  /**
   * Two tasks became durable with one append, and what followed from the first threw. The second
   * was never told that it is durable: it was never ordered, and its room never came back.
   */
  @Test
  void anEffectThatThrowsDoesNotTakeTheLaterOnesAlong() {
    List<String> ran = new ArrayList<>();
    PartitionWriter writer = new PartitionWriter(store, time.loop(), 0, 1, () -> ran.add("lost"));
    writer.write(
        "a",
        () -> ByteString.copyFromUtf8("a"),
        () -> {
          ran.add("a");
          throw new IllegalStateException("told to throw");
        });
    writer.write("b", () -> ByteString.copyFromUtf8("b"), () -> ran.add("b"));
    writer.afterDurable(() -> ran.add("effect"));
    time.advance(10);
    assertEquals(List.of("a", "b", "effect"), ran);
    writer.write("c", () -> ByteString.copyFromUtf8("c"), () -> ran.add("c"));
    time.advance(10);
    assertEquals(List.of("a", "b", "effect", "c"), ran);
    assertTrue(writer.isIdle());
  }
}
