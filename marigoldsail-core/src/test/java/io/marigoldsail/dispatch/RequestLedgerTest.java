package io.marigoldsail.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.dispatch.RequestLedger.State;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RequestLedgerTest {
  private static final long WINDOW = 1_000;
  private static final WireId ID = new WireId(7, 1);

  private final RequestLedger<String> ledger = new RequestLedger<>(3, 10, WINDOW);

  /**
   * A caller reads "not run" and books anew; then the first booking, which lay in a connection that
   * had gone silent, reaches the side process and runs as well: charged twice.
   */
  @Test
  void lateCopyOfWhatWasSaidNotToRunCannotRun() {
    assertTrue(ledger.bury(ID, 0));

    assertFalse(ledger.admit(ID));
    assertEquals(State.TOMBSTONE, ledger.state(ID));
  }

  @Test
  void whatRunsOrRanIsNeverSaidNotToRun() {
    ledger.admit(ID);
    ledger.started(ID);
    assertFalse(ledger.bury(ID, 0));

    ledger.done(ID, "answer", 6, 0);
    assertFalse(ledger.bury(ID, 0));
    assertEquals(Optional.of("answer"), ledger.answer(ID));
  }

  @Test
  void waitingMayStillBeGivenUp() {
    ledger.admit(ID);

    assertTrue(ledger.bury(ID, 0));
    assertFalse(ledger.admit(ID));
  }

  /**
   * An id is kept for a bounded time. After that the ledger must not take "never seen" for "did not
   * run": the entry would tell a caller "not run" of a charge that was made.
   */
  @Test
  void forgottenIsNotTakenForNeverSeen() {
    ledger.admit(ID);
    ledger.started(ID);
    ledger.done(ID, "answer", 6, 0);
    ledger.expire(WINDOW);

    assertEquals(State.FORGOTTEN, ledger.state(ID));
    assertFalse(ledger.bury(ID, WINDOW));
    assertFalse(ledger.admit(ID));
  }

  @Test
  void answersGiveWayToNewerOnesButTheirIdsStay() {
    WireId second = new WireId(7, 2);
    for (WireId id : new WireId[] {ID, second}) {
      ledger.admit(id);
      ledger.started(id);
      ledger.done(id, "answer", 6, 0);
    }

    assertEquals(6, ledger.answerBytes());
    assertEquals(Optional.empty(), ledger.answer(ID));
    assertFalse(ledger.bury(ID, 0));
    assertEquals(Optional.of("answer"), ledger.answer(second));
  }

  @Test
  void answerTooLongToKeepLeavesTheIdForgotten() {
    ledger.admit(ID);
    ledger.started(ID);
    ledger.doneUnkept(ID, 0);

    assertEquals(State.FORGOTTEN, ledger.state(ID));
    assertFalse(ledger.admit(ID));
  }

  /**
   * At 16,000 requests a second one in a hundred took 85 ms: answers that their entry had long read
   * were kept, and the side process stood still to collect them once a second.
   */
  @Test
  void answerThatItsEntryHasIsNotKeptButItsIdIs() {
    ledger.admit(ID);
    ledger.started(ID);
    ledger.done(ID, "answer", 6, 0);
    ledger.acknowledged(ID, 0);

    assertEquals(0, ledger.answerBytes());
    assertEquals(State.FORGOTTEN, ledger.state(ID));
    assertFalse(ledger.bury(ID, 0));
    assertFalse(ledger.admit(ID));
  }

  /** The bits of ids are dropped, too; neither then nor after may an id that ran run again. */
  @Test
  void acknowledgedIdIsNeverTakenForNeverSeen() {
    long[] sequences = {1, 2, SettledSequences.WINDOW + 1L, 5L * SettledSequences.WINDOW};
    for (long sequence : sequences) {
      WireId id = new WireId(7, sequence);
      assertTrue(ledger.admit(id));
      ledger.started(id);
      ledger.done(id, "answer", 6, 0);
      ledger.acknowledged(id, 0);
    }
    for (long now : new long[] {0, WINDOW}) {
      ledger.expire(now);
      for (long sequence : sequences) {
        assertEquals(State.FORGOTTEN, ledger.state(new WireId(7, sequence)));
      }
    }
    assertEquals(State.UNSEEN, ledger.state(new WireId(7, 5L * SettledSequences.WINDOW + 1)));
  }

  /** Whatever comes in whatever order: nothing starts twice, and nothing buried has started. */
  @Property(seed = "20261202")
  void nothingStartsTwiceAndNothingBuriedStarts(
      @ForAll @Size(max = 60) @IntRange(max = 35) int[] steps) {
    RequestLedger<String> any = new RequestLedger<>(2, 5, 10);
    Set<WireId> started = new HashSet<>();
    Set<WireId> buried = new HashSet<>();
    long now = 0;
    for (int step : steps) {
      now += 3;
      WireId id = new WireId(1, step % 6);
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
          if (any.bury(id, now)) {
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
