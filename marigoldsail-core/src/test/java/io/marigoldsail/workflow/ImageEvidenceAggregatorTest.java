package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.workflow.ImageInterference.Evidence;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ImageEvidenceAggregatorTest {
  private static final double ROUNDING = 1e-6;

  private final ImageEvidenceAggregator sums = new ImageEvidenceAggregator();

  @Test
  void excludesTheEvidenceOfTheVmItself() {
    sums.update("vm-1", Map.of("image", new Evidence(1, 2)));
    sums.update("vm-2", Map.of("image", new Evidence(3, 5), "rare", new Evidence(0, 1)));
    assertSeen(new Evidence(3, 5), sums.totalExcluding("vm-1").get("image"));
    assertSeen(new Evidence(1, 2), sums.totalExcluding("vm-2").get("image"));
    assertSeen(new Evidence(4, 7), sums.total().get("image"));
  }

  @Test
  void anUpdateReplacesTheEvidenceOfItsVm() {
    sums.update("vm-1", Map.of("image", new Evidence(1, 2), "old", new Evidence(1, 1)));
    sums.update("vm-1", Map.of("image", new Evidence(2, 4)));
    assertSeen(new Evidence(2, 4), sums.total().get("image"));
    assertFalse(sums.total().containsKey("old"));
  }

  /**
   * Images come and go with releases for as long as an entry lives. Those that no VM had seen for
   * days were still in the sums with a weight of nothing, and each VM was told of all of them.
   */
  @Test
  void dropsImagesThatNoVmReports() {
    Evidence tenth = new Evidence(0.1, 0.1);
    Evidence fifth = new Evidence(0.2, 0.2);
    sums.update("vm-1", Map.of("old", tenth));
    sums.update("vm-2", Map.of("old", fifth));
    // What is left of doubles after this is a little over nothing.
    sums.update("vm-1", Map.of());
    sums.update("vm-2", Map.of("new", tenth));
    assertEquals(Set.of("new"), sums.total().keySet());
    assertEquals(Set.of("new"), sums.totalExcluding("vm-1").keySet());
  }

  @Test
  void excludesImagesThatOnlyTheVmReported() {
    sums.update("vm-1", Map.of("shared", new Evidence(1, 2), "its", new Evidence(1, 2)));
    sums.update("vm-2", Map.of("shared", new Evidence(1, 2)));
    assertEquals(Set.of("shared"), sums.totalExcluding("vm-1").keySet());
    assertEquals(Set.of("shared", "its"), sums.totalExcluding("vm-2").keySet());
  }

  @Test
  void ignoresImagesWithoutEvidence() {
    sums.update("vm-1", Map.of("image", Evidence.NONE));
    assertEquals(Set.of(), sums.total().keySet());
  }

  @Property
  void totalsEqualTheSumOfTheLatestUpdates(
      @ForAll @Size(max = 60) List<@IntRange(max = 2_399) Integer> words) {
    ImageEvidenceAggregator told = new ImageEvidenceAggregator();
    Map<String, Map<String, Evidence>> last = new HashMap<>();
    for (int word : words) {
      String vm = "vm-" + word % 4;
      double weight = word / 200.0;
      Map<String, Evidence> seen = Map.of("image-" + word % 3, new Evidence(weight * 0.3, weight));
      last.put(vm, seen);
      told.update(vm, seen);
    }
    for (int image = 0; image < 3; image++) {
      String name = "image-" + image;
      Evidence expected =
          last.values().stream()
              .map(seen -> seen.getOrDefault(name, Evidence.NONE))
              .reduce(Evidence.NONE, Evidence::plus);
      assertSeen(expected, told.total().getOrDefault(name, Evidence.NONE));
    }
  }

  private static void assertSeen(Evidence expected, Evidence actual) {
    assertEquals(expected.blame(), actual.blame(), ROUNDING);
    assertEquals(expected.weight(), actual.weight(), ROUNDING);
    assertTrue(actual.weight() >= actual.blame());
  }
}
