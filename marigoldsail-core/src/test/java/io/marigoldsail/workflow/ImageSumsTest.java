package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.workflow.ImageHarm.Seen;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ImageSumsTest {
  private static final double ROUNDING = 1e-6;

  private final ImageSums sums = new ImageSums();

  @Test
  void aVmIsToldWhatOthersSawAndNotWhatItSawItself() {
    sums.saw("vm-1", Map.of("image", new Seen(1, 2)));
    sums.saw("vm-2", Map.of("image", new Seen(3, 5), "rare", new Seen(0, 1)));
    assertSeen(new Seen(3, 5), sums.elsewhere("vm-1").get("image"));
    assertSeen(new Seen(1, 2), sums.elsewhere("vm-2").get("image"));
    assertSeen(new Seen(4, 7), sums.all().get("image"));
  }

  @Test
  void aNewWordOfAVmReplacesItsLast() {
    sums.saw("vm-1", Map.of("image", new Seen(1, 2), "old", new Seen(1, 1)));
    sums.saw("vm-1", Map.of("image", new Seen(2, 4)));
    assertSeen(new Seen(2, 4), sums.all().get("image"));
    assertFalse(sums.all().containsKey("old"));
  }

  /** Images change with releases for as long as an entry runs. Guards against keeping images that no VM has reported for days with a negligible weight, and sending all of them to every VM. */
  @Test
  void anImageThatNoVmTellsOfAnyMoreIsDropped() {
    Seen tenth = new Seen(0.1, 0.1);
    Seen fifth = new Seen(0.2, 0.2);
    sums.saw("vm-1", Map.of("old", tenth));
    sums.saw("vm-2", Map.of("old", fifth));
    // Rounding leaves a weight slightly above zero after this.
    sums.saw("vm-1", Map.of());
    sums.saw("vm-2", Map.of("new", tenth));
    assertEquals(Set.of("new"), sums.all().keySet());
    assertEquals(Set.of("new"), sums.elsewhere("vm-1").keySet());
  }

  @Test
  void aVmIsNotToldOfAnImageThatOnlyItSaw() {
    sums.saw("vm-1", Map.of("shared", new Seen(1, 2), "its", new Seen(1, 2)));
    sums.saw("vm-2", Map.of("shared", new Seen(1, 2)));
    assertEquals(Set.of("shared"), sums.elsewhere("vm-1").keySet());
    assertEquals(Set.of("shared", "its"), sums.elsewhere("vm-2").keySet());
  }

  @Test
  void anImageOfWhichAVmTellsNothingIsNotKept() {
    sums.saw("vm-1", Map.of("image", Seen.NOTHING));
    assertEquals(Set.of(), sums.all().keySet());
  }

  @Property
  void sumsAreThoseOfTheLastWords(
      @ForAll @Size(max = 60) List<@IntRange(max = 2_399) Integer> updates) {
    ImageSums aggregator = new ImageSums();
    Map<String, Map<String, Seen>> latest = new HashMap<>();
    for (int update : updates) {
      String vm = "vm-" + update % 4;
      double weight = update / 200.0;
      Map<String, Seen> seen = Map.of("image-" + update % 3, new Seen(weight * 0.3, weight));
      latest.put(vm, seen);
      aggregator.saw(vm, seen);
    }
    for (int image = 0; image < 3; image++) {
      String name = "image-" + image;
      Seen expected =
          latest.values().stream()
              .map(seen -> seen.getOrDefault(name, Seen.NOTHING))
              .reduce(Seen.NOTHING, Seen::plus);
      assertSeen(expected, aggregator.all().getOrDefault(name, Seen.NOTHING));
    }
  }

  private static void assertSeen(Seen expected, Seen actual) {
    assertEquals(expected.blame(), actual.blame(), ROUNDING);
    assertEquals(expected.weight(), actual.weight(), ROUNDING);
    assertTrue(actual.weight() >= actual.blame());
  }
}
