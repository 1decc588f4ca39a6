package io.marigoldsail.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class InterferenceTest {
  private final Interference interference = new Interference();

  /** A program slows whenever one neighbour is there, whoever else is; the others stay clear. */
  @Test
  void identifiesTheInterferingNeighbour() {
    Random random = new Random(3);
    for (int i = 0; i < 300; i++) {
      boolean noisy = random.nextBoolean();
      String other = "calm-" + random.nextInt(4);
      Map<String, Double> neighbours =
          noisy ? Map.of("noisy", 1.0, other, 1.0) : Map.of(other, 1.0);
      interference.recordMeasurement("victim", neighbours, noisy ? 2 : 1);
    }

    assertEquals(1, interference.excess("victim", "noisy"), 0.2);
    for (int i = 0; i < 4; i++) {
      assertTrue(interference.excess("victim", "calm-" + i) < 0.2);
    }
  }

  @Test
  void unlearnsInterferenceThatStops() {
    for (int i = 0; i < 50; i++) {
      interference.recordMeasurement("victim", Map.of("noisy", 1.0), 2);
    }
    for (int i = 0; i < 100; i++) {
      interference.recordMeasurement("victim", Map.of("noisy", 1.0), 1);
    }

    assertEquals(0, interference.excess("victim", "noisy"));
    assertTrue(interference.mutualCosts("noisy").isEmpty());
  }

  @Test
  void mutualCostsIncludeBothDirections() {
    for (int i = 0; i < 50; i++) {
      interference.recordMeasurement("victim", Map.of("noisy", 1.0), 2);
    }

    assertEquals(
        interference.mutualCosts("noisy").get("victim"), interference.excess("victim", "noisy"));
    assertEquals(
        interference.mutualCosts("victim").get("noisy"), interference.excess("victim", "noisy"));
  }
}
