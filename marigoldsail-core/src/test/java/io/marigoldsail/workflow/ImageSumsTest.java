package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.workflow.ImageHarm.Seen;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
    assertSeen(Seen.NOTHING, sums.all().get("old"));
  }

  @Property
  void sumsAreThoseOfTheLastWords(
      @ForAll @Size(max = 60) List<@IntRange(max = 2_399) Integer> words) {
    ImageSums told = new ImageSums();
    Map<String, Map<String, Seen>> last = new HashMap<>();
    for (int word : words) {
      String vm = "vm-" + word % 4;
      double weight = word / 200.0;
      Map<String, Seen> seen = Map.of("image-" + word % 3, new Seen(weight * 0.3, weight));
      last.put(vm, seen);
      told.saw(vm, seen);
    }
    for (int image = 0; image < 3; image++) {
      String name = "image-" + image;
      Seen expected =
          last.values().stream()
              .map(seen -> seen.getOrDefault(name, Seen.NOTHING))
              .reduce(Seen.NOTHING, Seen::plus);
      assertSeen(expected, told.all().getOrDefault(name, Seen.NOTHING));
    }
  }

  private static void assertSeen(Seen expected, Seen actual) {
    assertEquals(expected.blame(), actual.blame(), ROUNDING);
    assertEquals(expected.weight(), actual.weight(), ROUNDING);
    assertTrue(actual.weight() >= actual.blame());
  }
}
