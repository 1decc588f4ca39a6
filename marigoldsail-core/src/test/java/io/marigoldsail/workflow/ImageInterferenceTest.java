package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ImageInterferenceTest {
  private static final int IMAGES = 9;

  private static boolean isInterfering(int image) {
    return image % 2 == 0;
  }

  /**
   * Five of nine images interfere, and the tasks of two images run on a VM at a time, whose tail
   * shows only that one of them interferes. After some dozens of readings the benign images must be
   * known, so that they may use processors that services leave idle.
   */
  @Test
  void separatesInterferingFromBenignColocatedImages() {
    Random random = new Random(11);
    ImageInterference interference = new ImageInterference();
    for (int reading = 0; reading < 120; reading++) {
      List<ImageInterference.ImageLoad> loads = new ArrayList<>();
      boolean slow = false;
      for (int i = 0; i < 2; i++) {
        int image = random.nextInt(IMAGES);
        loads.add(new ImageInterference.ImageLoad("image-" + image, 1_500));
        slow |= isInterfering(image);
      }
      interference.observe(loads, slow ? 150 + random.nextInt(300) : 20 + random.nextInt(40));
    }
    for (int image = 0; image < IMAGES; image++) {
      double belief = interference.belief("image-" + image);
      if (isInterfering(image)) {
        assertTrue(belief > ImageInterference.INTERFERING_BELIEF, "image " + image + ": " + belief);
      } else {
        assertTrue(belief < ImageInterference.BENIGN_BELIEF, "image " + image + ": " + belief);
      }
    }
  }

  @Test
  void anUnknownImageHasThePriorBelief() {
    assertEquals(ImageInterference.PRIOR_BELIEF, new ImageInterference().belief("new"));
  }

  @Test
  void remoteEvidenceCountsLikeLocalEvidence() {
    ImageInterference local = new ImageInterference();
    ImageInterference remote = new ImageInterference();
    for (int i = 0; i < 6; i++) {
      remote.observe(List.of(new ImageInterference.ImageLoad("image", 2_000)), 30);
    }
    local.setRemoteEvidence(remote.localEvidence());
    assertTrue(local.belief("image") < ImageInterference.BENIGN_BELIEF);
    Map<String, ImageInterference.Evidence> nothing = new HashMap<>();
    local.setRemoteEvidence(nothing);
    assertEquals(ImageInterference.PRIOR_BELIEF, local.belief("image"));
  }

  @Test
  void beliefFollowsChangedBehaviour() {
    ImageInterference interference = new ImageInterference();
    for (int i = 0; i < 200; i++) {
      interference.observe(List.of(new ImageInterference.ImageLoad("image", 2_000)), 30);
    }
    for (int i = 0; i < 30; i++) {
      interference.observe(List.of(new ImageInterference.ImageLoad("image", 2_000)), 300);
    }
    assertTrue(interference.belief("image") > ImageInterference.INTERFERING_BELIEF);
  }

  @Test
  void ignoresReadingsBetweenTheThresholds() {
    ImageInterference interference = new ImageInterference();
    interference.observe(List.of(new ImageInterference.ImageLoad("image", 2_000)), 90);
    interference.observe(List.of(), 500);
    assertEquals(Map.of(), interference.localEvidence());
  }
}
