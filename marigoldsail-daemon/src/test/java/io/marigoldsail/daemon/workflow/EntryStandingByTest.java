package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Entries with few processors beside faster ones, on virtual time. */
class EntryStandingByTest {
  private static final int PARTITIONS = 24;
  private static final long WALL_MILLIS = 1_786_725_341_055L;
  private static final long SETTLED_MILLIS = 6_000;

  /** Owners are read each 0.9 s, and partitions are read within a second. */
  private static final long TAKEOVER_MILLIS = 3_000;

  private final VirtualLoop time = new VirtualLoop();
  private final FakeWorkflowStore store = new FakeWorkflowStore(PARTITIONS, time.timer());
  private final RefusingStore storeOfSlow = new RefusingStore(store);
  private final EntryMember slowMember = member(2, OptionalInt.of(360));

  private static EntryMember member(int number, OptionalInt processors) {
    return new EntryMember("10.0.0." + number, 7720, WALL_MILLIS, processors);
  }

  private PartitionOwnership start(WorkflowStore seenStore, EntryMember self) {
    PartitionOwnership ownership =
        new PartitionOwnership(
            seenStore, time.loop(), time::wallMillis, self, new NoOpOwnershipListener());
    ownership.start();
    return ownership;
  }

  private PartitionOwnership startFast(int number) {
    return start(store, member(number, OptionalInt.of(1_500)));
  }

  private PartitionOwnership startSlow() {
    return start(storeOfSlow, slowMember);
  }

  @Test
  void slowEntryStandsByBesideFasterOwners() {
    PartitionOwnership first = startFast(1);
    PartitionOwnership second = startFast(3);
    time.advance(SETTLED_MILLIS);
    PartitionOwnership slow = startSlow();
    time.advance(SETTLED_MILLIS);
    assertEquals(0, slow.active().size());
    assertTrue(slow.isConnected());
    assertEquals(PARTITIONS, first.active().size() + second.active().size());
  }

  @Test
  void slowEntryThatStartedFirstHandsItsPartitionsOver() {
    PartitionOwnership slow = startSlow();
    time.advance(SETTLED_MILLIS);
    assertEquals(PARTITIONS, slow.active().size());
    PartitionOwnership first = startFast(1);
    PartitionOwnership second = startFast(3);
    time.advance(SETTLED_MILLIS);
    assertEquals(0, slow.active().size());
    assertEquals(PARTITIONS, first.active().size() + second.active().size());
  }

  /** Guards against partitions without an owner after the loss of all faster entries. */
  @Test
  void slowEntryOwnsOnceTheStoreHasDroppedTheFasterOnes() {
    startFast(1).leave();
    PartitionOwnership second = startFast(3);
    time.advance(SETTLED_MILLIS);
    PartitionOwnership slow = startSlow();
    time.advance(SETTLED_MILLIS);
    second.leave();
    time.advance(TAKEOVER_MILLIS);
    assertEquals(PARTITIONS, slow.active().size());
  }

  /**
   * Guards against partitions without an owner because the store executes a join of an entry after
   * the entry has stood by.
   */
  @Test
  void lateJoinOfAnEntryStandingByIsUndone() {
    PartitionOwnership first = startFast(1);
    PartitionOwnership second = startFast(3);
    time.advance(SETTLED_MILLIS);
    startSlow();
    time.advance(SETTLED_MILLIS);
    store.join(slowMember.toString(), Long.MAX_VALUE);
    time.advance(SETTLED_MILLIS);
    assertEquals(PARTITIONS, first.active().size() + second.active().size());
  }

  /** Guards against callers sent to an entry that stands by and cannot reach the store. */
  @Test
  void entryStandingByIsConnectedOnlyWhileItReadsTheOwners() {
    startFast(1);
    startFast(3);
    time.advance(SETTLED_MILLIS);
    PartitionOwnership slow = startSlow();
    time.advance(SETTLED_MILLIS);
    storeOfSlow.setRefusing(true);
    time.advance(TAKEOVER_MILLIS);
    assertFalse(slow.isConnected());
    storeOfSlow.setRefusing(false);
    time.advance(TAKEOVER_MILLIS);
    assertTrue(slow.isConnected());
  }

  /** Guards against owners of an earlier version, which do not serve entries standing by. */
  @Test
  void slowEntryOwnsBesideAnOwnerThatDoesNotTellItsProcessors() {
    startFast(1);
    start(store, member(3, OptionalInt.empty()));
    time.advance(SETTLED_MILLIS);
    PartitionOwnership slow = startSlow();
    time.advance(SETTLED_MILLIS);
    assertFalse(slow.active().isEmpty());
  }

  @Test
  void restartedEntryDoesNotCountItsEarlierIncarnation() {
    PartitionOwnership slow = startSlow();
    time.advance(SETTLED_MILLIS);
    slow.leave();
    store.join(slowMember.toString(), Long.MAX_VALUE);
    PartitionOwnership restarted =
        start(
            storeOfSlow,
            new EntryMember("10.0.0.2", 7720, WALL_MILLIS + SETTLED_MILLIS, OptionalInt.of(360)));
    time.advance(SETTLED_MILLIS);
    assertEquals(PARTITIONS, restarted.active().size());
  }

  /**
   * Guards against partitions without an owner because another program is a member, with more
   * processors in its name than all entries together.
   */
  @Test
  void entriesDoNotStandByBesideAMemberThatIsNoEntry() {
    String odd = "127.0.0.1:1/" + (WALL_MILLIS * EntryMember.PROCESSORS_RANGE + 99_999);
    PartitionOwnership first = startDisconnectedFrom(1, odd);
    time.advance(SETTLED_MILLIS);
    store.join(odd, Long.MAX_VALUE);
    for (int i = 0; i < SETTLED_MILLIS; i++) {
      time.advance(1);
      assertFalse(first.active().isEmpty());
    }
    PartitionOwnership second = startDisconnectedFrom(3, odd);
    time.advance(3 * SETTLED_MILLIS);
    assertFalse(first.active().isEmpty());
    assertFalse(second.active().isEmpty());
    store.leave(odd);
    time.advance(SETTLED_MILLIS);
    assertEquals(PARTITIONS, first.active().size() + second.active().size());
  }

  /** Guards against an entry that owns for a moment at each interruption of a connection. */
  @Test
  void shortInterruptionEndsNoStandby() {
    startFast(1);
    time.advance(SETTLED_MILLIS);
    boolean[] connected = {true};
    PartitionOwnership slow = startWith(2, OptionalInt.of(100), unused -> connected[0]);
    time.advance(SETTLED_MILLIS);
    connected[0] = false;
    time.advance(2_000);
    connected[0] = true;
    time.advance(SETTLED_MILLIS);
    assertEquals(0, slow.active().size());
    connected[0] = false;
    time.advance(2 * SETTLED_MILLIS);
    assertFalse(slow.active().isEmpty());
  }

  private PartitionOwnership startDisconnectedFrom(int number, String odd) {
    return startWith(number, OptionalInt.of(750), member -> !member.equals(odd));
  }

  private PartitionOwnership startWith(
      int number, OptionalInt processors, Predicate<String> connected) {
    PartitionOwnership ownership =
        new PartitionOwnership(
            store,
            time.loop(),
            time::wallMillis,
            member(number, processors),
            new NoOpOwnershipListener() {
              @Override
              public boolean isConnected(String member) {
                return connected.test(member);
              }
            });
    ownership.start();
    return ownership;
  }
}
