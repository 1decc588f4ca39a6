package io.marigoldsail.daemon.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetainedWorkTest {
  private static final String OWNER = "owner";

  /** One byte below the limit, at it, and one above, whatever was kept and added before. */
  @Property
  void workIsAddedUpToTheLimit(
      @ForAll @IntRange(min = 2, max = 1_000_000) int max,
      @ForAll @IntRange(max = 1_000) int keptPermille,
      @ForAll @IntRange(max = 1_000) int addedPermille) {
    long kept = (long) max * keptPermille / 1_000;
    long added = (max - kept) * addedPermille / 1_000;
    for (long size : new long[] {max - kept - added - 1, max - kept - added}) {
      RetainedWork retained = RetainedWork.ofMaximum(max);
      retained.update(OWNER, kept);
      assertTrue(retained.tryAdd(OWNER, added));
      assertTrue(size < 0 || retained.tryAdd(OWNER, size));
    }
    RetainedWork retained = RetainedWork.ofMaximum(max);
    retained.update(OWNER, kept);
    assertTrue(retained.tryAdd(OWNER, added));
    assertFalse(retained.tryAdd(OWNER, max - kept - added + 1));
    assertEquals(kept + added, retained.bytes(OWNER));
  }

  /** An owner that fails leaves room for its work at any other. */
  @Test
  void twoOwnersTogetherFitIntoTheShareOfTheHeap() {
    long heap = 134L << 20;
    assertTrue(2 * RetainedWork.ofHeap(heap).maxBytes() <= heap / 2);
  }

  @Test
  void ownersAreCountedApart() {
    RetainedWork retained = RetainedWork.ofMaximum(100);
    assertTrue(retained.tryAdd(OWNER, 100));
    assertFalse(retained.tryAdd(OWNER, 1));
    assertTrue(retained.tryAdd("other", 100));
    retained.update(OWNER, 40);
    assertTrue(retained.tryAdd(OWNER, 60));
    retained.remove(OWNER, 60);
    assertTrue(retained.tryAdd(OWNER, 60));
    retained.retainOwners(Set.of("other"));
    assertEquals(0, retained.bytes(OWNER));
    assertEquals(100, retained.bytes("other"));
  }
}
