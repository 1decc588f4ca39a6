package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whether an owner may report that a workflow does not exist, on virtual time. */
class CaughtUpTest {
  private static final long SUSPENSION_MILLIS = 10_000;

  private final VirtualLoop time = new VirtualLoop();
  private final VirtualStore store = new VirtualStore(time);
  private final OwnedPartition partition =
      new OwnedPartition(store, time.loop(), time.clocks(), 0, 1, new NoOpOwnershipListener());

  @BeforeEach
  void open() {
    partition.open();
    time.advance(20);
    assertTrue(partition.isCaughtUp());
  }

  /**
   * Other entries accept submissions while the machine is suspended. A caller that asks for one
   * right after it would be told that it does not exist, and a run of it would be stopped.
   */
  @Test
  void submissionsAreNotKnownRightAfterASuspension() {
    time.shiftWallClock(SUSPENSION_MILLIS);
    assertFalse(partition.isCaughtUp());
  }

  /** A response that the store sent before the suspension does not contain them either. */
  @Test
  void readAnsweredBeforeASuspensionDoesNotShowLaterSubmissions() {
    store.holdReads();
    time.advance(20);
    time.shiftWallClock(SUSPENSION_MILLIS);
    store.releaseReads();
    assertFalse(partition.isCaughtUp());
  }

  /** Guards against callers that get no answer about unknown workflows after a suspension. */
  @ParameterizedTest
  @ValueSource(longs = {SUSPENSION_MILLIS, -SUSPENSION_MILLIS})
  void submissionsAreKnownAfterTheNextRead(long shiftMillis) {
    time.shiftWallClock(shiftMillis);
    time.advance(10);
    assertTrue(partition.isCaughtUp());
  }

  /** A read that waits for submissions would keep callers waiting as long. */
  @Test
  void firstReadAfterASuspensionDoesNotWaitForSubmissions() {
    time.shiftWallClock(SUSPENSION_MILLIS);
    time.advance(10);
    assertTrue(store.readWaits().contains(0L), "waits: " + store.readWaits());
  }
}
