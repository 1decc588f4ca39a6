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
   * A caller reads "not run" and books anew; then the first booking, which lay in a connection that
   * had gone silent, reaches the side process and runs as well: charged twice.
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
   * An id is kept for a bounded time. After that the ledger must not take "never seen" for "did not
   * run": the entry would tell a caller "not run" of a charge that was made.
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
   * At 16,000 requests a second one in a hundred took 85 ms: answers that their entry had long read
   * were kept, and the side process stood still to collect them once a second.
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

  /** The bits of ids are dropped, too; neither then nor after may an id that ran run again. */
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

  /** Whatever comes in whatever order: nothing starts twice, and nothing buried has started. */
  @Property(seed = "20261202")
  void noAttemptStartsTwiceOrAfterItsTombstone(
      @ForAll @Size(max = 60) @IntRange(max = 35) int[] steps) {
    AttemptTable<String> any = new AttemptTable<>(2, 5, 10);
    Set<AttemptId> started = new HashSet<>();
    Set<AttemptId> buried = new HashSet<>();
    long now = 0;
    for (int step : steps) {
      now += 3;
      AttemptId id = new AttemptId(1, step % 6);
      switch (step / 6) {
        case 0 -> any.admit(id);
        case 1 -> {
          if (any.state(id) == State.WAITING) {
            any.started(id);
            assertTrue(started.add(id), "started twice: " + id);
            assertFalse(buried.contains(id), "started after it was buried: " + id);
          }
        }
        case 2 -> {
          if (any.markNotRun(id, now)) {
            buried.add(id);
            assertFalse(started.contains(id), "buried after it was started: " + id);
          }
        }
        case 3 -> {
          if (any.state(id) == State.RUNNING) {
            any.done(id, "answer", 3, now);
          }
        }
        case 4 -> any.acknowledged(id, now);
        default -> any.expire(now);
      }
    }
  }
}
