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
   * Nine images, five of which disturb. Two or three stand together on a VM at a time, and the tail
   * tells only that something there disturbs. Within some dozens of readings those that do not must
   * be known, so that they may use what services leave.
   */
  @Test
  void separatesInterferingFromBenignColocatedImages() {
    Random random = new Random(11);
    ImageInterference harm = new ImageInterference();
    for (int reading = 0; reading < 120; reading++) {
      List<ImageInterference.ImageLoad> fillings = new ArrayList<>();
      boolean disturbed = false;
      for (int i = 0; i < 2; i++) {
        int image = random.nextInt(IMAGES);
        fillings.add(new ImageInterference.ImageLoad("image-" + image, 1_500));
        disturbed |= isInterfering(image);
      }
      harm.observe(fillings, disturbed ? 150 + random.nextInt(300) : 20 + random.nextInt(40));
    }
    for (int image = 0; image < IMAGES; image++) {
      double belief = harm.belief("image-" + image);
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
    ImageInterference here = new ImageInterference();
    ImageInterference there = new ImageInterference();
    for (int i = 0; i < 6; i++) {
      there.observe(List.of(new ImageInterference.ImageLoad("image", 2_000)), 30);
    }
    here.setRemoteEvidence(there.localEvidence());
    assertTrue(here.belief("image") < ImageInterference.BENIGN_BELIEF);
    Map<String, ImageInterference.Evidence> nothing = new HashMap<>();
    here.setRemoteEvidence(nothing);
    assertEquals(ImageInterference.PRIOR_BELIEF, here.belief("image"));
  }

  @Test
  void beliefFollowsChangedBehaviour() {
    ImageInterference harm = new ImageInterference();
    for (int i = 0; i < 200; i++) {
      harm.observe(List.of(new ImageInterference.ImageLoad("image", 2_000)), 30);
    }
    for (int i = 0; i < 30; i++) {
      harm.observe(List.of(new ImageInterference.ImageLoad("image", 2_000)), 300);
    }
    assertTrue(harm.belief("image") > ImageInterference.INTERFERING_BELIEF);
  }

  @Test
  void ignoresReadingsBetweenTheThresholds() {
    ImageInterference harm = new ImageInterference();
    harm.observe(List.of(new ImageInterference.ImageLoad("image", 2_000)), 90);
    harm.observe(List.of(), 500);
    assertEquals(Map.of(), harm.localEvidence());
  }
}
