package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableMap;
import io.marigoldsail.colocation.ImagePair;
import io.marigoldsail.colocation.PairEvidence;
import io.marigoldsail.daemon.frames.MessageBudget;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PairSeen;
import io.marigoldsail.protocol.ServiceRoom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Converts the evidence on pairs of images, and rooms, to frames and back. Stateless. */
final class PairEvidenceCodec {
  /** Evidence of less work changes no estimate. */
  private static final double MIN_WORK = 1e-3;

  private PairEvidenceCodec() {}

  /** Returns the evidence on the pairs whose service image matches. */
  static List<PairSeen> encode(
      Map<ImagePair, PairEvidence> evidence, Predicate<String> serviceImage) {
    List<PairSeen> encoded = new ArrayList<>();
    evidence.forEach(
        (pair, each) -> {
          if (each.work() >= MIN_WORK && serviceImage.test(pair.service())) {
            encoded.add(
                PairSeen.newBuilder()
                    .setBestEffort(pair.bestEffort())
                    .setService(pair.service())
                    .setWork((float) each.work())
                    .setEffect((float) each.effect())
                    .build());
          }
        });
    return encoded;
  }

  /** Returns as much of it as fits into the size, that of the most work first. */
  static List<PairSeen> encode(
      Map<ImagePair, PairEvidence> evidence, Predicate<String> serviceImage, int maxBytes) {
    List<PairSeen> encoded = encode(evidence, serviceImage);
    encoded.sort(Comparator.comparingDouble(PairSeen::getWork).reversed());
    return MessageBudget.take(encoded, LeaseGrant.PAIRS_FIELD_NUMBER, maxBytes);
  }

  /** Returns the evidence; figures that are no sums of squares count as none. */
  static Map<ImagePair, PairEvidence> decode(List<PairSeen> encoded) {
    Map<ImagePair, PairEvidence> evidence = new HashMap<>();
    for (PairSeen each : encoded) {
      boolean valid =
          each.getWork() >= 0 && Float.isFinite(each.getWork()) && Float.isFinite(each.getEffect());
      if (valid) {
        evidence.put(
            new ImagePair(each.getBestEffort(), each.getService()),
            new PairEvidence(each.getWork(), each.getEffect()));
      }
    }
    return evidence;
  }

  static List<ServiceRoom> encodeRooms(Map<String, Double> rooms) {
    List<ServiceRoom> encoded = new ArrayList<>();
    rooms.forEach(
        (image, headroom) ->
            encoded.add(
                ServiceRoom.newBuilder()
                    .setImage(image)
                    .setHeadroom(headroom.floatValue())
                    .build()));
    return encoded;
  }

  /** Returns the headroom by image; a headroom that is no finite number counts as none. */
  static ImmutableMap<String, Double> decodeRooms(List<ServiceRoom> encoded) {
    ImmutableMap.Builder<String, Double> rooms = ImmutableMap.builder();
    for (ServiceRoom each : encoded) {
      double headroom = Float.isFinite(each.getHeadroom()) ? each.getHeadroom() : -1;
      rooms.put(each.getImage(), headroom);
    }
    return rooms.buildKeepingLast();
  }
}
