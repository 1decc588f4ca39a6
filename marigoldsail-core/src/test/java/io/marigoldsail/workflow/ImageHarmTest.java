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

  /**
   * Nine images, five of which disturb. Two or three stand together on a VM at a time, and the tail
   * tells only that something there disturbs. Within some dozens of readings those that do not must
   * be known, so that they may use what services leave.
   */
  @Test
  void tellsHarmfulFromHarmlessThoughTheyStandTogether() {
    Random random = new Random(11);
    ImageHarm harm = new ImageHarm();
    for (int reading = 0; reading < 120; reading++) {
      List<ImageHarm.Filling> fillings = new ArrayList<>();
      boolean disturbed = false;
      for (int i = 0; i < 2; i++) {
        int image = random.nextInt(IMAGES);
        fillings.add(new ImageHarm.Filling("image-" + image, 1_500));
        disturbed |= isHeavy(image);
      }
      harm.observe(fillings, disturbed ? 150 + random.nextInt(300) : 20 + random.nextInt(40));
    }
    for (int image = 0; image < IMAGES; image++) {
      double belief = harm.belief("image-" + image);
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
    ImageHarm here = new ImageHarm();
    ImageHarm there = new ImageHarm();
    for (int i = 0; i < 6; i++) {
      there.observe(List.of(new ImageHarm.Filling("image", 2_000)), 30);
    }
    here.others(there.own());
    assertTrue(here.belief("image") < ImageHarm.HARMLESS);
    Map<String, ImageHarm.Seen> nothing = new HashMap<>();
    here.others(nothing);
    assertEquals(ImageHarm.UNKNOWN, here.belief("image"));
  }

  @Test
  void effectsThatChangeAreBelievedAnew() {
    ImageHarm harm = new ImageHarm();
    for (int i = 0; i < 200; i++) {
      harm.observe(List.of(new ImageHarm.Filling("image", 2_000)), 30);
    }
    for (int i = 0; i < 30; i++) {
      harm.observe(List.of(new ImageHarm.Filling("image", 2_000)), 300);
    }
    assertTrue(harm.belief("image") > ImageHarm.HARMFUL);
  }

  @Test
  void readingsBetweenTellNothing() {
    ImageHarm harm = new ImageHarm();
    harm.observe(List.of(new ImageHarm.Filling("image", 2_000)), 90);
    harm.observe(List.of(), 500);
    assertEquals(Map.of(), harm.own());
  }
}
