package io.marigoldsail.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.dispatch.AttemptTable.State;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class AttemptTableTest {
  private static final long WINDOW = 1_000;
  private static final AttemptId ID = new AttemptId(7, 1);

  private final AttemptTable<String> table = new AttemptTable<>(3, 10, WINDOW);

  /**
   * A caller reads "not run" and sends its booking again. Then the first booking, delayed in a
   * silent connection, reaches the side process and must not run: the caller would be charged
   * twice.
   */
  @Test
  void lateCopyOfANotRunAttemptCannotRun() {
    assertTrue(table.markNotRun(ID, 0));

    assertFalse(table.admit(ID));
    assertEquals(State.TOMBSTONE, table.state(ID));
  }

  @Test
  void startedAttemptIsNeverMarkedNotRun() {
    table.admit(ID);
    table.started(ID);
    assertFalse(table.markNotRun(ID, 0));

    table.done(ID, "answer", 6, 0);
    assertFalse(table.markNotRun(ID, 0));
    assertEquals(Optional.of("answer"), table.response(ID));
  }

  @Test
  void waitingAttemptCanBeMarkedNotRun() {
    table.admit(ID);

    assertTrue(table.markNotRun(ID, 0));
    assertFalse(table.admit(ID));
  }

  /**
   * Ids are kept for a limited time. An expired id must not be reported as unseen: the entry would
   * answer "not run" for a charge that was made.
   */
  @Test
  void expiredIdIsNotReportedAsUnseen() {
    table.admit(ID);
    table.started(ID);
    table.done(ID, "answer", 6, 0);
    table.expire(WINDOW);

    assertEquals(State.FORGOTTEN, table.state(ID));
    assertFalse(table.markNotRun(ID, WINDOW));
    assertFalse(table.admit(ID));
  }

  @Test
  void oldResponsesAreEvictedButTheirIdsAreKept() {
    AttemptId second = new AttemptId(7, 2);
    for (AttemptId id : new AttemptId[] {ID, second}) {
      table.admit(id);
      table.started(id);
      table.done(id, "answer", 6, 0);
    }

    assertEquals(6, table.responseBytes());
    assertEquals(Optional.empty(), table.response(ID));
    assertFalse(table.markNotRun(ID, 0));
    assertEquals(Optional.of("answer"), table.response(second));
  }

  @Test
  void idOfAnOversizedResponseIsKept() {
    table.admit(ID);
    table.started(ID);
    table.doneWithoutResponse(ID, 0);

    assertEquals(State.FORGOTTEN, table.state(ID));
    assertFalse(table.admit(ID));
  }

  /**
   * Responses that their entry had read were kept, and collecting them stopped the side process
   * once a second: at 16,000 requests per second one in a hundred took 85 ms.
   */
  @Test
  void acknowledgedResponseIsDroppedButItsIdIsKept() {
    table.admit(ID);
    table.started(ID);
    table.done(ID, "answer", 6, 0);
    table.acknowledged(ID, 0);

    assertEquals(0, table.responseBytes());
    assertEquals(State.FORGOTTEN, table.state(ID));
    assertFalse(table.markNotRun(ID, 0));
    assertFalse(table.admit(ID));
  }

  /**
   * The bits of acknowledged ids expire as well. An id that ran must not run again, neither before
   * nor after that.
   */
  @Test
  void acknowledgedIdIsNeverReportedAsUnseen() {
    long[] sequences = {1, 2, AcknowledgedSequences.WINDOW + 1L, 5L * AcknowledgedSequences.WINDOW};
    for (long sequence : sequences) {
      AttemptId id = new AttemptId(7, sequence);
      assertTrue(table.admit(id));
      table.started(id);
      table.done(id, "answer", 6, 0);
      table.acknowledged(id, 0);
    }
    for (long now : new long[] {0, WINDOW}) {
      table.expire(now);
      for (long sequence : sequences) {
        assertEquals(State.FORGOTTEN, table.state(new AttemptId(7, sequence)));
      }
    }
    assertEquals(
        State.UNSEEN, table.state(new AttemptId(7, 5L * AcknowledgedSequences.WINDOW + 1)));
  }

  /**
   * In any order of events, no attempt starts twice, and no attempt with a tombstone has started or
   * starts.
   */
  @Property(seed = "20261202")
  void noAttemptStartsTwiceOrAfterItsTombstone(
      @ForAll @Size(max = 60) @IntRange(max = 35) int[] steps) {
    AttemptTable<String> table = new AttemptTable<>(2, 5, 10);
    Set<AttemptId> started = new HashSet<>();
    Set<AttemptId> tombstones = new HashSet<>();
    long now = 0;
    for (int step : steps) {
      now += 3;
      AttemptId id = new AttemptId(1, step % 6);
      switch (step / 6) {
        case 0 -> table.admit(id);
        case 1 -> {
          if (table.state(id) == State.WAITING) {
            table.started(id);
            assertTrue(started.add(id), "started twice: " + id);
            assertFalse(tombstones.contains(id), "started after its tombstone: " + id);
          }
        }
        case 2 -> {
          if (table.markNotRun(id, now)) {
            tombstones.add(id);
            assertFalse(started.contains(id), "tombstone set after it was started: " + id);
          }
        }
        case 3 -> {
          if (table.state(id) == State.RUNNING) {
            table.done(id, "answer", 3, now);
          }
        }
        case 4 -> table.acknowledged(id, now);
        default -> table.expire(now);
      }
    }
  }
}
