package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.daemon.workflow.WorkflowStore.Writer;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** How entries acquire the partitions that are assigned to them, on virtual time. */
class PartitionOpeningTest {
  private static final int PARTITIONS = 48;
  private static final long SETTLED_MILLIS = 2_000;

  private final VirtualLoop time = new VirtualLoop();
  private final FakeWorkflowStore store = new FakeWorkflowStore(PARTITIONS, time.timer());

  private static final class CountingListener extends NoOpOwnershipListener {
    private int activated;

    @Override
    public void activated(OwnedPartition partition) {
      activated++;
    }
  }

  /**
   * Guards against a restart of all entries after which the first one is assigned all partitions
   * and notices only after it has read them that others have joined.
   */
  @Test
  void partitionsAreReadAFewAtATime() {
    CountingListener listener = new CountingListener();
    PartitionOwnership ownership =
        new PartitionOwnership(
            store, time.loop(), time::wallMillis, new EntryMember("127.0.0.1", 1, 1), listener);
    ownership.start();
    int most = 0;
    for (int millis = 0; millis < SETTLED_MILLIS; millis++) {
      int before = listener.activated;
      time.advance(1);
      most = Math.max(most, listener.activated - before);
    }
    assertEquals(PARTITIONS, ownership.active().size());
    assertTrue(most <= PartitionOwnership.MAX_OPENING, "activated at once: " + most);
  }

  /** Guards against partitions without an owner because others have a writer of a later epoch. */
  @Test
  void partitionsThatCannotBeOwnedDoNotKeepOthersFromBeingRead() {
    for (int partition = 0; partition <= PartitionOwnership.MAX_OPENING; partition++) {
      store.append(
          Topic.PROGRESS, partition, List.of(), Optional.of(new Writer(Long.MAX_VALUE / 2, 0)));
    }
    PartitionOwnership ownership =
        new PartitionOwnership(
            store,
            time.loop(),
            time::wallMillis,
            new EntryMember("127.0.0.1", 1, 1),
            new NoOpOwnershipListener());
    ownership.start();
    time.advance(SETTLED_MILLIS);
    assertEquals(PARTITIONS - PartitionOwnership.MAX_OPENING - 1, ownership.active().size());
  }

  /** Guards against partitions without an owner because the store does not serve a few others. */
  @Test
  void partitionsThatCannotBeReadDelayOthersForAMomentOnly() {
    RefusingStore partly = new RefusingStore(store);
    partly.refuseAppendsBelow(PartitionOwnership.MAX_OPENING + 1);
    PartitionOwnership ownership =
        new PartitionOwnership(
            partly,
            time.loop(),
            time::wallMillis,
            new EntryMember("127.0.0.1", 1, 1),
            new NoOpOwnershipListener());
    ownership.start();
    time.advance(SETTLED_MILLIS);
    assertEquals(PARTITIONS - PartitionOwnership.MAX_OPENING - 1, ownership.active().size());
  }
}
