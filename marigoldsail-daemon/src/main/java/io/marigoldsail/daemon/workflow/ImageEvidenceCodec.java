package io.marigoldsail.daemon.workflow;

import io.marigoldsail.protocol.ImageSeen;
import io.marigoldsail.workflow.ImageInterference;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Turns what was seen of images into frames and back. Stateless. */
final class ImageEvidenceCodec {
  private ImageEvidenceCodec() {}

  static List<ImageSeen> encode(Map<String, ImageInterference.Evidence> seen) {
    List<ImageSeen> encoded = new ArrayList<>();
    seen.forEach(
        (image, what) ->
            encoded.add(
                ImageSeen.newBuilder()
                    .setImage(image)
                    .setBlame((float) what.blame())
                    .setWeight((float) what.weight())
                    .build()));
    return encoded;
  }

  static Map<String, ImageInterference.Evidence> decode(List<ImageSeen> encoded) {
    Map<String, ImageInterference.Evidence> seen = new HashMap<>();
    for (ImageSeen each : encoded) {
      double weight = Math.max(0, each.getWeight());
      double blame = Math.min(weight, Math.max(0, each.getBlame()));
      seen.put(each.getImage(), new ImageInterference.Evidence(blame, weight));
    }
    return seen;
  }
}
