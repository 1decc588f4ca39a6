package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.marigoldsail.colocation.ImagePair;
import io.marigoldsail.colocation.PairEvidence;
import io.marigoldsail.protocol.PairSeen;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PairEvidenceCodecTest {
  private static final ImagePair PAIR = new ImagePair("heavy", "s");

  @Test
  void evidenceOnHostedServicesIsEncoded() {
    Map<ImagePair, PairEvidence> evidence =
        Map.of(
            PAIR, new PairEvidence(0.5, 4), new ImagePair("heavy", "t"), new PairEvidence(0.5, 0));
    List<PairSeen> encoded = PairEvidenceCodec.encode(evidence, "s"::equals);
    assertEquals(Map.of(PAIR, new PairEvidence(0.5, 4)), PairEvidenceCodec.decode(encoded));
  }

  /** Guards against one VM that spoils the estimates of the fleet. */
  @Test
  void figuresThatAreNoSumsOfSquaresAreIgnored() {
    PairSeen valid = PairSeen.newBuilder().setBestEffort("heavy").setService("s").build();
    List<PairSeen> invalid =
        List.of(
            valid.toBuilder().setWork(-1).build(),
            valid.toBuilder().setWork(Float.NaN).build(),
            valid.toBuilder().setWork(Float.POSITIVE_INFINITY).build(),
            valid.toBuilder().setWork(1).setEffect(Float.NaN).build());
    assertEquals(Map.of(), PairEvidenceCodec.decode(invalid));
  }
}
