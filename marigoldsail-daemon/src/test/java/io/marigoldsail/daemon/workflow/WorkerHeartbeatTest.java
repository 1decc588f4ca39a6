package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;
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
}
