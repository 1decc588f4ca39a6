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

  /** Guards against a survivor that takes over more than fits into it, from however many owners. */
  @Test
  void anyOneOwnerHasRoomForWhatAllOwn() {
    long heap = 134L << 20;
    RetainedWork retained = RetainedWork.ofHeap(heap);
    int workflows = 0;
    while (retained.tryAdd("owner-" + workflows % 5, 100_000)) {
      workflows++;
    }
    assertTrue(retained.totalBytes() <= heap / 2);
    assertTrue(retained.totalBytes() > heap / 3);
    for (int owner = 0; owner < 5; owner++) {
      assertFalse(retained.tryAdd("owner-" + owner, 100_000));
    }
  }

  @Test
  void ownersShareTheLimit() {
    RetainedWork retained = RetainedWork.ofMaximum(100);
    assertTrue(retained.tryAdd(OWNER, 60));
    assertFalse(retained.tryAdd("other", 41));
    assertTrue(retained.tryAdd("other", 40));
    retained.update(OWNER, 20);
    assertTrue(retained.tryAdd(OWNER, 40));
    retained.remove(OWNER, 40);
    assertTrue(retained.tryAdd("other", 40));
    retained.retainOwners(Set.of("other"));
    assertEquals(0, retained.bytes(OWNER));
    assertEquals(80, retained.bytes("other"));
  }

  /** Guards against a size that another program tells, which overflows the sum. */
  @Test
  void hugeSizesAreSummedWithoutOverflow() {
    RetainedWork retained = RetainedWork.ofMaximum(100);
    retained.update(OWNER, Long.MAX_VALUE);
    retained.update("other", Long.MAX_VALUE);
    assertFalse(retained.tryAdd(OWNER, 1));
  }
}
