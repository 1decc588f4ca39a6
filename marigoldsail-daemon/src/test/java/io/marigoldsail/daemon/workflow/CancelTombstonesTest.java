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
      assertTrue(tombstones.add(id, id));
    }
    assertFalse(tombstones.add(CancelTombstones.MAX_TOMBSTONES, 0));
    assertEquals(CancelTombstones.MAX_TOMBSTONES, tombstones.size());
    assertTrue(tombstones.add(0, 1_000_000), "a known one is renewed");
    assertEquals(List.of(1L, 2L), tombstones.removeOlderThan(3));
    assertTrue(tombstones.add(CancelTombstones.MAX_TOMBSTONES, 0));
  }

  /** Guards against a write for each repeat of a cancel. */
  @Test
  void recentCancelNeedsNoRenewal() {
    tombstones.add(1, 10_000);
    assertTrue(tombstones.isRecent(1, 10_100));
    assertFalse(tombstones.isRecent(1, 60_000));
    assertFalse(tombstones.isRecent(2, 10_100));
    assertEquals(OptionalLong.of(10_000), tombstones.remove(1));
    assertEquals(OptionalLong.empty(), tombstones.remove(1));
  }
}
