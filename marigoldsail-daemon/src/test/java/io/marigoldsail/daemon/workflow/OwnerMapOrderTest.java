package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.capacity.RetainedWork;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owner;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The order in which owner maps apply, on virtual time. */
class OwnerMapOrderTest {
  private static final EntryMember SELF = new EntryMember("127.0.0.1", 1, 1);
  private static final String OTHER = new EntryMember("127.0.0.1", 2, 1).toString();
  private static final long SETTLED_MILLIS = 5_000;
  private static final long ROUND_TRIPS_MILLIS = 10;

  private final VirtualLoop time = new VirtualLoop();

  /**
   * Otherwise side processes would return to the older map of an entry that cannot reach the store.
   */
  @Test
  void higherGenerationIsSentThoughOwnersAreTheSame() {
    EntryPeers peers = new EntryPeers(time.loop(), SELF, RetainedWork.ofMaximum(1 << 20));
    Owners owners = new Owners(ImmutableList.of(new Owner(0, SELF.toString())));
    assertTrue(peers.updateOwners(8, owners));
    assertFalse(peers.updateOwners(8, owners));
    assertTrue(peers.updateOwners(9, owners));
    assertFalse(peers.updateOwners(9, owners));
    assertFalse(peers.updateOwners(8, owners));
  }

  /** New owners must not be sent under the generation of the former owners for long. */
  @ParameterizedTest
  @ValueSource(ints = {0, 500, 1_050, 1_200, 1_500})
  void newOwnersAreSoonReadUnderTheirGeneration(int afterMillis) {
    FakeWorkflowStore store = new FakeWorkflowStore(2, time.timer());
    LastOwnersListener last = new LastOwnersListener();
    PartitionOwnership ownership =
        new PartitionOwnership(store, time.loop(), time::wallMillis, SELF, last);
    store.join(OTHER, Long.MAX_VALUE);
    ownership.start();
    time.advance(SETTLED_MILLIS + afterMillis);
    Owners before = last.owners;
    long generation = last.generation;
    store.drop(OTHER);
    while (last.owners.equals(before)) {
      time.advance(1);
    }
    time.advance(ROUND_TRIPS_MILLIS);
    assertTrue(
        last.generation > generation, "owners changed, but the generation is still " + generation);
  }

  /** Records the last owners read. */
  private static final class LastOwnersListener extends NoOpOwnershipListener {
    private long generation;
    private Owners owners = new Owners(ImmutableList.of());

    @Override
    public void ownersRead(long asOfGeneration, Owners newOwners) {
      generation = asOfGeneration;
      owners = newOwners;
    }
  }
}
