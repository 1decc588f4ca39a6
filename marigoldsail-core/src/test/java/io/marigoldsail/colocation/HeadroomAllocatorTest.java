package io.marigoldsail.colocation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class HeadroomAllocatorTest {
  private static final ImageEffects EFFECTS = (image, service) -> image.equals("heavy") ? 8 : 0;

  private static Map<String, Double> speeds(double spare, boolean over) {
    return HeadroomAllocator.speeds(
        List.of(new HeadroomAllocator.Service("s", spare, over)),
        Map.of("heavy", 0.1, "light", 0.2),
        EFFECTS::effect);
  }

  @Test
  void allWorkAtFullSpeedWhileThereIsHeadroom() {
    assertEquals(Map.of("heavy", 1.0, "light", 1.0), speeds(1, false));
  }

  /** Guards against one speed for all images: harmless work would be slowed down with the rest. */
  @Test
  void onlyTheImageThatTakesHeadroomIsSlowedDown() {
    assertEquals(Map.of("heavy", 0.5, "light", 1.0), speeds(0.4, false));
    assertEquals(Map.of("heavy", 0.0, "light", 1.0), speeds(-1, false));
  }

  /** Guards against a service that stays over its target because an effect is underestimated. */
  @Test
  void serviceThatStaysOverItsTargetSlowsAllImagesDown() {
    assertEquals(Map.of("heavy", 0.0, "light", 0.0), speeds(-1, true));
  }
}
