package io.marigoldsail.daemon.workflow;

import io.marigoldsail.protocol.ImageSeen;
import io.marigoldsail.workflow.ImageHarm;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Converts image observations to frames and back. Stateless. */
final class ImageRecords {
  private ImageRecords() {}

  static List<ImageSeen> encode(Map<String, ImageHarm.Seen> seen) {
    List<ImageSeen> encoded = new ArrayList<>();
    seen.forEach(
        (image, observation) ->
            encoded.add(
                ImageSeen.newBuilder()
                    .setImage(image)
                    .setBlame((float) observation.blame())
                    .setWeight((float) observation.weight())
                    .build()));
    return encoded;
  }

  static Map<String, ImageHarm.Seen> decode(List<ImageSeen> encoded) {
    Map<String, ImageHarm.Seen> seen = new HashMap<>();
    for (ImageSeen each : encoded) {
      double weight = Math.max(0, each.getWeight());
      double blame = Math.min(weight, Math.max(0, each.getBlame()));
      seen.put(each.getImage(), new ImageHarm.Seen(blame, weight));
    }
    return seen;
  }
}
