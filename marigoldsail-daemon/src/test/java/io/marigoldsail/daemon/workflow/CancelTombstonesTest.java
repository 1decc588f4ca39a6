package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** The bounds of the cancels that are kept of unknown workflows. */
class CancelTombstonesTest {
  private final CancelTombstones tombstones = new CancelTombstones();

  /** Guards against memory and records without limit where callers cancel ids at random. */
  @Test
  void cancelsBeyondTheLimitAreNotKept() {
    for (long id = 0; id < CancelTombstones.MAX_TOMBSTONES; id++) {
      assertTrue(tombstones.add(TestIds.id(id), id));
    }
    assertFalse(tombstones.add(TestIds.id(CancelTombstones.MAX_TOMBSTONES), 0));
    assertEquals(CancelTombstones.MAX_TOMBSTONES, tombstones.size());
    assertTrue(tombstones.add(TestIds.id(0), 1_000_000), "a known one is renewed");
    assertEquals(List.of(TestIds.id(1), TestIds.id(2)), tombstones.removeOlderThan(3));
    assertTrue(tombstones.add(TestIds.id(CancelTombstones.MAX_TOMBSTONES), 0));
  }

  /** Guards against a write for each repeat of a cancel. */
  @Test
  void recentCancelNeedsNoRenewal() {
    tombstones.add(TestIds.id(1), 10_000);
    assertTrue(tombstones.isRecent(TestIds.id(1), 10_100));
    assertFalse(tombstones.isRecent(TestIds.id(1), 60_000));
    assertFalse(tombstones.isRecent(TestIds.id(2), 10_100));
    assertEquals(OptionalLong.of(10_000), tombstones.remove(TestIds.id(1)));
    assertEquals(OptionalLong.empty(), tombstones.remove(TestIds.id(1)));
  }
}
