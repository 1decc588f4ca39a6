package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.frames.MessageBudget;
import io.marigoldsail.protocol.ImageSeen;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.workflow.ImageInterference;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Converts the interference evidence of images to frames and back. Stateless. */
final class ImageEvidenceCodec {
  private ImageEvidenceCodec() {}

  static List<ImageSeen> encode(Map<String, ImageInterference.Evidence> evidence) {
    List<ImageSeen> encoded = new ArrayList<>();
    evidence.forEach(
        (image, imageEvidence) ->
            encoded.add(
                ImageSeen.newBuilder()
                    .setImage(image)
                    .setBlame(toFloat(imageEvidence.blame()))
                    .setWeight(toFloat(imageEvidence.weight()))
                    .build()));
    return encoded;
  }

  /** Returns as much of the evidence as fits into the size, that of the greatest weight first. */
  static List<ImageSeen> encode(Map<String, ImageInterference.Evidence> evidence, int maxBytes) {
    List<ImageSeen> encoded = encode(evidence);
    encoded.sort(Comparator.comparingDouble(ImageSeen::getWeight).reversed());
    return MessageBudget.take(encoded, LeaseGrant.IMAGES_FIELD_NUMBER, maxBytes);
  }

  /** Returns the evidence; figures that are no finite numbers count as none. */
  static Map<String, ImageInterference.Evidence> decode(List<ImageSeen> encoded) {
    Map<String, ImageInterference.Evidence> evidence = new HashMap<>();
    for (ImageSeen each : encoded) {
      if (Float.isFinite(each.getWeight()) && Float.isFinite(each.getBlame())) {
        double weight = Math.max(0, each.getWeight());
        double blame = Math.min(weight, Math.max(0, each.getBlame()));
        evidence.put(each.getImage(), new ImageInterference.Evidence(blame, weight));
      }
    }
    return evidence;
  }

  private static float toFloat(double value) {
    return (float) Math.min(value, Float.MAX_VALUE);
  }
}
