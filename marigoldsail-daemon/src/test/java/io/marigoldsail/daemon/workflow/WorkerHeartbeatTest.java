package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkerHeartbeatTest {
  private static WorkerHeartbeat heartbeat(
      String worker, String zone, String label, long processors, boolean draining, long sequence) {
    return new WorkerHeartbeat(
        worker,
        "service of " + label,
        zone,
        ImmutableList.of(label),
        "rack of " + zone,
        new Sizes(processors, 1, 0),
        draining,
        sequence);
  }

  @Test
  void sequenceIsIgnored() {
    assertTrue(
        heartbeat("w", "z", "l", 1, false, 1)
            .equalsIgnoringSequence(heartbeat("w", "z", "l", 1, false, 2)));
  }

  /** Guards against a change of a worker that no owner hears of. */
  @Test
  void everyOtherComponentCounts() {
    WorkerHeartbeat first = heartbeat("w", "z", "l", 1, false, 1);
    List.of(
            heartbeat("other", "z", "l", 1, false, 1),
            heartbeat("w", "other", "l", 1, false, 1),
            heartbeat("w", "z", "other", 1, false, 1),
            heartbeat("w", "z", "l", 2, false, 1),
            heartbeat("w", "z", "l", 1, true, 1))
        .forEach(other -> assertFalse(first.equalsIgnoringSequence(other), other.toString()));
  }

  private static void create(String text, int labels, Sizes capacity) {
    new WorkerHeartbeat(
        text,
        text,
        text,
        ImmutableList.copyOf(Collections.nCopies(labels, text)),
        text,
        capacity,
        false,
        1);
  }

  /** Guards against a capacity that a report holds as a negative one, and its entries reject. */
  @Test
  void capacityIsLimitedToWhatReportsHold() {
    long maxBytes = Integer.MAX_VALUE * Sizes.BYTES_PER_MEBIBYTE;
    Sizes largest = new Sizes(Integer.MAX_VALUE, maxBytes, Integer.MAX_VALUE);
    create("w", 1, largest);
    for (Sizes over :
        List.of(
            largest.plus(new Sizes(1, 0, 0)),
            largest.plus(new Sizes(0, Sizes.BYTES_PER_MEBIBYTE, 0)),
            largest.plus(new Sizes(0, 0, 1)))) {
      assertThrows(
          IllegalArgumentException.class, () -> create("w", 1, over), () -> over.toString());
    }
  }

  /** Guards against a heartbeat that makes every report of its VM too large for a link. */
  @Test
  void textsAreLimitedToWhatReportsHold() {
    String longest = "\uffee".repeat(WorkerHeartbeat.MAX_NAME_LENGTH);
    create(longest, WorkerHeartbeat.MAX_LABELS, Sizes.NONE);
    assertThrows(IllegalArgumentException.class, () -> create(longest + "x", 0, Sizes.NONE));
    assertThrows(
        IllegalArgumentException.class,
        () -> create("w", WorkerHeartbeat.MAX_LABELS + 1, Sizes.NONE));
  }
}
