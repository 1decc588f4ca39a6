package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class OwnerSelectionTest {
  private static final int FAST = 1_500;
  private static final int SLOW = 360;

  private static ImmutableList<OptionalInt> owners(int fast, int slow) {
    List<OptionalInt> owners = new ArrayList<>();
    for (int i = 0; i < fast; i++) {
      owners.add(OptionalInt.of(FAST));
    }
    for (int i = 0; i < slow; i++) {
      owners.add(OptionalInt.of(SLOW));
    }
    return ImmutableList.copyOf(owners);
  }

  @Test
  void entryOwnsWhereThereIsNoOtherOwner() {
    assertTrue(OwnerSelection.of(SLOW).update(ImmutableList.of(), 0));
  }

  @Test
  void entriesWithEqualProcessorsAllOwn() {
    OwnerSelection selection = OwnerSelection.of(SLOW);
    for (long now = 0; now < 10 * OwnerSelection.STAND_BY_DELAY_NANOS; now += 1_000_000_000L) {
      assertTrue(selection.update(owners(0, 14), now));
    }
  }

  @Test
  void slowEntryThatOwnsNothingStandsByBesideFasterOwners() {
    assertFalse(OwnerSelection.of(SLOW).update(owners(8, 0), 0));
    assertTrue(OwnerSelection.of(FAST).update(owners(7, 5), 0));
  }

  /** Guards against partitions that change their owner because of a list that is out of date. */
  @Test
  void ownerStandsByOnlyOnceItHasBeenDispensableForAWhile() {
    OwnerSelection selection = OwnerSelection.of(SLOW);
    assertTrue(selection.update(ImmutableList.of(), 0));
    assertTrue(selection.update(owners(8, 0), 1));
    assertTrue(selection.update(ImmutableList.of(), OwnerSelection.STAND_BY_DELAY_NANOS));
    long again = OwnerSelection.STAND_BY_DELAY_NANOS + 1;
    assertTrue(selection.update(owners(8, 0), again));
    assertTrue(selection.update(owners(8, 0), again + OwnerSelection.STAND_BY_DELAY_NANOS - 1));
    assertFalse(selection.update(owners(8, 0), again + OwnerSelection.STAND_BY_DELAY_NANOS));
  }

  /** Guards against a fleet whose last fast entry owns everything and cannot keep up. */
  @Test
  void slowEntryOwnsAtOnceWhereFasterOwnersAreTooFew() {
    OwnerSelection selection = OwnerSelection.of(SLOW);
    assertFalse(selection.update(owners(2, 0), 0));
    assertTrue(selection.update(owners(1, 0), 1));
  }

  /** Guards against owners of an earlier version, which do not serve entries standing by. */
  @Test
  void entryOwnsBesideAnOwnerWhoseProcessorsAreNotKnown() {
    List<OptionalInt> owners = new ArrayList<>(owners(8, 0));
    owners.add(OptionalInt.empty());
    assertTrue(OwnerSelection.of(SLOW).update(ImmutableList.copyOf(owners), 0));
  }

  /**
   * Guards against an entry that holds up the workflows of its partitions in a burst which the
   * other entries could serve.
   */
  @Test
  void burstIsServedByOwnersThatKeepUp() {
    int partitions = 48;
    int burstMilliPerPartition = 120;
    ImmutableList<OptionalInt> fleet = owners(8, 5);
    assertTrue(slowestKeepsUp(fleet, partitions, burstMilliPerPartition) > 1);
    List<OptionalInt> selected = new ArrayList<>(owners(8, 0));
    for (int i = 0; i < 5; i++) {
      if (OwnerSelection.of(SLOW).update(ImmutableList.copyOf(selected), 0)) {
        selected.add(OptionalInt.of(SLOW));
      }
    }
    assertTrue(slowestKeepsUp(selected, partitions, burstMilliPerPartition) < 1);
  }

  /** Returns the largest demand on an owner as a multiple of its processors. */
  private static double slowestKeepsUp(List<OptionalInt> owners, int partitions, int milli) {
    int perOwner = (partitions + owners.size() - 1) / owners.size();
    return owners.stream()
        .mapToDouble(each -> (double) perOwner * milli / each.getAsInt())
        .max()
        .orElseThrow();
  }

  @Test
  void processorsMustBePositive() {
    assertThrows(IllegalArgumentException.class, () -> OwnerSelection.of(0));
  }
}
