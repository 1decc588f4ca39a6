package io.marigoldsail.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.membership.MemberTable.Change;
import java.util.List;
import org.junit.jupiter.api.Test;

class MemberTableTest {
  private static final long TIMEOUT_NANOS = 3_000_000_000L;

  private final MemberTable table = new MemberTable(TIMEOUT_NANOS);

  private static Announcement announcement(long incarnation, boolean leaving) {
    return new Announcement(
        "vm-1",
        incarnation,
        "suva",
        "r1",
        "127.0.0.1:1",
        "",
        "parking",
        8,
        leaving,
        new TargetLoad(0, 0, 1, leaving),
        0);
  }

  @Test
  void announcementIsValidUntilItsDeadline() {
    assertEquals(Change.JOINED, table.update(announcement(1, false), 0));
    assertEquals(List.of(), table.expire(TIMEOUT_NANOS - 1));
    assertEquals(1, table.targets().size());

    assertEquals(List.of(announcement(1, false)), table.expire(TIMEOUT_NANOS));
    assertEquals(List.of(), table.targets());
  }

  @Test
  void drainingIsReportedOnceAndVisibleInTargets() {
    table.update(announcement(1, false), 0);

    assertEquals(Change.DRAINING, table.update(announcement(1, true), 1));
    assertEquals(Change.UPDATED, table.update(announcement(1, true), 2));
    assertTrue(table.targets().get(0).draining());
  }

  /**
   * A VM is frozen and its side process replaced; when the old one wakes it announces itself again.
   * Entries that believe it send requests to a process whose successor holds the slots: twice as
   * many run as the target has slots, and every turn of the two starts the target slowly anew.
   */
  @Test
  void resumedPredecessorDoesNotReplaceItsSuccessor() {
    table.update(announcement(1, false), 0);
    assertEquals(Change.JOINED, table.update(announcement(2, false), 1));

    assertEquals(Change.STALE, table.update(announcement(1, false), 2));

    assertEquals(2, table.targets().get(0).incarnation());
    assertEquals(List.of(), table.expire(TIMEOUT_NANOS));
    assertEquals(1, table.expire(TIMEOUT_NANOS + 1).size());
  }

  /** The same, with the successor already silent and dropped when the predecessor wakes. */
  @Test
  void resumedPredecessorDoesNotReplaceAnExpiredSuccessor() {
    table.update(announcement(2, false), 0);
    table.expire(TIMEOUT_NANOS);

    assertEquals(Change.STALE, table.update(announcement(1, false), TIMEOUT_NANOS + 1));
    assertEquals(List.of(), table.targets());
  }

  @Test
  void incarnationOfAnExpiredVmIsDroppedAfterAMinute() {
    table.update(announcement(2, false), 0);
    table.expire(TIMEOUT_NANOS);
    long later = TIMEOUT_NANOS + 60_000_000_000L;
    table.expire(later);

    assertEquals(Change.JOINED, table.update(announcement(1, false), later));
  }

  /**
   * An entry is frozen for ten seconds. When it wakes, its clock has passed every deadline while
   * the announcements of all those seconds lie unread in its sockets; without mercy it drops all
   * targets and refuses every caller.
   */
  @Test
  void pausedEntryRestartsTheTimeoutOfEveryVm() {
    table.update(announcement(1, false), 0);
    long woken = 10_000_000_000L;

    table.restartTimeouts(woken);

    assertEquals(List.of(), table.expire(woken));
    assertEquals(1, table.expire(woken + TIMEOUT_NANOS).size());
  }
}
