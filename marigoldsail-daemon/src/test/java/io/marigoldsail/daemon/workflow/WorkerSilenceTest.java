package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class WorkerSilenceTest {
  private final WorkerSilence silence = new WorkerSilence("worker-1");

  private static long at(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static Optional<String> line(Optional<?> logged) {
    return logged.map(Object::toString);
  }

  /**
   * Guards against a log line for each failed listing of a worker that is gone for a day, without the
   * duration of the outage. The start, at most one line every five seconds, and the end are logged.
   */
  @Test
  void tellsTheBeginningThenSeldomAndTheEnd() {
    assertFalse(silence.lasts());
    assertEquals(Optional.empty(), line(silence.answered(at(0))));
    assertEquals(
        Optional.of("event=worker-silent worker=worker-1 failures=1 silent_ms=0 reason=refused"),
        line(silence.failed("refused", at(1_000))));
    assertTrue(silence.lasts());
    assertEquals(Optional.empty(), line(silence.failed("refused", at(1_300))));
    assertEquals(Optional.empty(), line(silence.failed("refused", at(5_999))));
    assertEquals(
        Optional.of("event=worker-silent worker=worker-1 failures=4 silent_ms=5000 reason=reset"),
        line(silence.failed("reset", at(6_000))));
    assertEquals(Optional.empty(), line(silence.failed("reset", at(10_999))));
    assertEquals(
        Optional.of("event=worker-answers-again worker=worker-1 failures=5 silent_ms=10500"),
        line(silence.answered(at(11_500))));
    assertFalse(silence.lasts());
    assertEquals(Optional.empty(), line(silence.answered(at(11_600))));
  }
}
