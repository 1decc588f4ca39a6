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
   * Images change with releases for as long as an entry runs. Guards against keeping images that no
   * VM has reported for days with a negligible weight, and sending all of them to every VM.
   */
  @Test
  void dropsImagesThatNoVmReports() {
    Evidence tenth = new Evidence(0.1, 0.1);
    Evidence fifth = new Evidence(0.2, 0.2);
    sums.update("vm-1", Map.of("old", tenth));
    sums.update("vm-2", Map.of("old", fifth));
    // Rounding leaves a weight slightly above zero after this.
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
      @ForAll @Size(max = 60) List<@IntRange(max = 2_399) Integer> updates) {
    ImageEvidenceAggregator aggregator = new ImageEvidenceAggregator();
    Map<String, Map<String, Evidence>> latest = new HashMap<>();
    for (int update : updates) {
      String vm = "vm-" + update % 4;
      double weight = update / 200.0;
      Map<String, Evidence> seen =
          Map.of("image-" + update % 3, new Evidence(weight * 0.3, weight));
      latest.put(vm, seen);
      aggregator.update(vm, seen);
    }
    for (int image = 0; image < 3; image++) {
      String name = "image-" + image;
      Evidence expected =
          latest.values().stream()
              .map(seen -> seen.getOrDefault(name, Evidence.NONE))
              .reduce(Evidence.NONE, Evidence::plus);
      assertSeen(expected, aggregator.total().getOrDefault(name, Evidence.NONE));
    }
  }

  private static void assertSeen(Evidence expected, Evidence actual) {
    assertEquals(expected.blame(), actual.blame(), ROUNDING);
    assertEquals(expected.weight(), actual.weight(), ROUNDING);
    assertTrue(actual.weight() >= actual.blame());
  }
}
