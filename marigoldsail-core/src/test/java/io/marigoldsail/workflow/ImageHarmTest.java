package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ImageHarmTest {
  private static final int IMAGES = 9;

  private static boolean isHeavy(int image) {
    return image % 2 == 0;
  }

  /** Five of nine images interfere, and the tasks of two images run on a VM at a time, whose tail shows only that one of them interferes. After some dozens of readings the benign images must be known, so that they may use processors that services leave idle. */
  @Test
  void tellsHarmfulFromHarmlessThoughTheyStandTogether() {
    Random random = new Random(11);
    ImageHarm interference = new ImageHarm();
    for (int reading = 0; reading < 120; reading++) {
      List<ImageHarm.Filling> loads = new ArrayList<>();
      boolean slow = false;
      for (int i = 0; i < 2; i++) {
        int image = random.nextInt(IMAGES);
        loads.add(new ImageHarm.Filling("image-" + image, 1_500));
        slow |= isHeavy(image);
      }
      interference.observe(loads, slow ? 150 + random.nextInt(300) : 20 + random.nextInt(40));
    }
    for (int image = 0; image < IMAGES; image++) {
      double belief = interference.belief("image-" + image);
      if (isHeavy(image)) {
        assertTrue(belief > ImageHarm.HARMFUL, "image " + image + ": " + belief);
      } else {
        assertTrue(belief < ImageHarm.HARMLESS, "image " + image + ": " + belief);
      }
    }
  }

  @Test
  void anUnseenImageIsNeitherHarmfulNorHarmless() {
    assertEquals(ImageHarm.UNKNOWN, new ImageHarm().belief("new"));
  }

  @Test
  void whatOthersSawCountsAsMuchAsWhatWasSeenHere() {
    ImageHarm local = new ImageHarm();
    ImageHarm remote = new ImageHarm();
    for (int i = 0; i < 6; i++) {
      remote.observe(List.of(new ImageHarm.Filling("image", 2_000)), 30);
    }
    local.others(remote.own());
    assertTrue(local.belief("image") < ImageHarm.HARMLESS);
    Map<String, ImageHarm.Seen> nothing = new HashMap<>();
    local.others(nothing);
    assertEquals(ImageHarm.UNKNOWN, local.belief("image"));
  }

  @Test
  void effectsThatChangeAreBelievedAnew() {
    ImageHarm interference = new ImageHarm();
    for (int i = 0; i < 200; i++) {
      interference.observe(List.of(new ImageHarm.Filling("image", 2_000)), 30);
    }
    for (int i = 0; i < 30; i++) {
      interference.observe(List.of(new ImageHarm.Filling("image", 2_000)), 300);
    }
    assertTrue(interference.belief("image") > ImageHarm.HARMFUL);
  }

  @Test
  void readingsBetweenTellNothing() {
    ImageHarm interference = new ImageHarm();
    interference.observe(List.of(new ImageHarm.Filling("image", 2_000)), 90);
    interference.observe(List.of(), 500);
    assertEquals(Map.of(), interference.own());
  }
}
