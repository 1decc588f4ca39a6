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
   * A caller reads "not run" and sends its booking again. Then the first booking, delayed in a
   * silent connection, reaches the side process and must not run: the caller would be charged
   * twice.
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
   * Ids are kept for a limited time. An expired id must not be reported as unseen: the entry would
   * answer "not run" for a charge that was made.
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
   * Answers that their entry had read were kept, and collecting them stopped the side process once
   * a second: at 16,000 requests per second one in a hundred took 85 ms.
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

  /**
   * The bits of acknowledged ids expire as well. An id that ran must not run again, neither before
   * nor after that.
   */
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

  /**
   * In any order of events, no attempt starts twice, and no attempt with a tombstone has started or
   * starts.
   */
  @Property(seed = "20261202")
  void nothingStartsTwiceAndNothingBuriedStarts(
      @ForAll @Size(max = 60) @IntRange(max = 35) int[] steps) {
    RequestLedger<String> table = new RequestLedger<>(2, 5, 10);
    Set<WireId> started = new HashSet<>();
    Set<WireId> tombstones = new HashSet<>();
    long now = 0;
    for (int step : steps) {
      now += 3;
      WireId id = new WireId(1, step % 6);
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
          if (table.bury(id, now)) {
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
