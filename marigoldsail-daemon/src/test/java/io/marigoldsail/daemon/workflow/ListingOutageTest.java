package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ListingOutageTest {
  private final ListingOutage outage = new ListingOutage("life-1");

  private static long at(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static Optional<String> line(Optional<?> told) {
    return told.map(Object::toString);
  }

  /**
   * A worker that was gone for a day filled the log with a line for each listing in vain, and none
   * told how long it had been silent. Operators see the beginning, a line each five seconds, and
   * the end.
   */
  @Test
  void logsTheStartThenAtMostOneLinePerIntervalThenTheEnd() {
    assertFalse(outage.isOngoing());
    assertEquals(Optional.empty(), line(outage.recordSuccess(at(0))));
    assertEquals(
        Optional.of("event=worker-silent worker=life-1 failures=1 silent_ms=0 reason=refused"),
        line(outage.recordFailure("refused", at(1_000))));
    assertTrue(outage.isOngoing());
    assertEquals(Optional.empty(), line(outage.recordFailure("refused", at(1_300))));
    assertEquals(Optional.empty(), line(outage.recordFailure("refused", at(5_999))));
    assertEquals(
        Optional.of("event=worker-silent worker=life-1 failures=4 silent_ms=5000 reason=reset"),
        line(outage.recordFailure("reset", at(6_000))));
    assertEquals(Optional.empty(), line(outage.recordFailure("reset", at(10_999))));
    assertEquals(
        Optional.of("event=worker-answers-again worker=life-1 failures=5 silent_ms=10500"),
        line(outage.recordSuccess(at(11_500))));
    assertFalse(outage.isOngoing());
    assertEquals(Optional.empty(), line(outage.recordSuccess(at(11_600))));
  }
}
