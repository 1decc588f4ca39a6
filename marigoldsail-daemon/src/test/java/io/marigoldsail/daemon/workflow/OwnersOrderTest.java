package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owner;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The order in which owner maps apply, on virtual time. */
class OwnersOrderTest {
  private static final EntryMember SELF = new EntryMember("127.0.0.1", 1, 1);
  private static final String OTHER = new EntryMember("127.0.0.1", 2, 1).toString();
  private static final long SETTLED_MILLIS = 5_000;
  private static final long ROUND_TRIPS_MILLIS = 10;

  private final VirtualLoop time = new VirtualLoop();

  /**
   * Otherwise side processes would return to the older map of an entry that cannot reach the store.
   */
  @Test
  void aHigherGenerationIsToldThoughTheOwnersAreTheSame() {
    EntryPeers peers = new EntryPeers(time.loop(), SELF);
    Owners owners = new Owners(ImmutableList.of(new Owner(0, SELF.toString())));
    assertTrue(peers.owners(8, owners));
    assertFalse(peers.owners(8, owners));
    assertTrue(peers.owners(9, owners));
    assertFalse(peers.owners(9, owners));
    assertFalse(peers.owners(8, owners));
  }

  /** New owners must not be sent under the generation of the former owners for long. */
  @ParameterizedTest
  @ValueSource(ints = {0, 500, 1_050, 1_200, 1_500})
  void newOwnersAreSoonKnownUnderTheirOwnGeneration(int afterMillis) {
    FakeWorkflowStore store = new FakeWorkflowStore(2, time.timer());
    LastOwners last = new LastOwners();
    Ownership ownership = new Ownership(store, time.loop(), SELF, last);
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
    assertTrue(last.generation > generation, "owners changed, but the generation is still " + generation);
  }

  /** Records the last owners read. */
  private static final class LastOwners extends IgnoringOwnership {
    private long generation;
    private Owners owners = new Owners(ImmutableList.of());

    @Override
    public void ownersKnown(long asOfGeneration, Owners newOwners) {
      generation = asOfGeneration;
      owners = newOwners;
    }
  }
}
