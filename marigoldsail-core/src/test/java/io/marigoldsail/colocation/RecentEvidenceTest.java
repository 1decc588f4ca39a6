package io.marigoldsail.colocation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.workflow.ImageEvidenceAggregator;
import io.marigoldsail.workflow.ImageInterference;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RecentEvidenceTest {
  private static final int KEY_BYTES = 10;

  private static String name(int number) {
    return String.format("image-%04d", number);
  }

  private static int sizeOf(Map<String, ?> evidence) {
    return evidence.keySet().stream()
        .mapToInt(each -> RecentEvidence.bytesInMessage(RecentEvidence.bytesOf(each)))
        .sum();
  }

  /** One byte below what ten images take, that, and one above. */
  @Test
  void oldestEvidenceIsForgottenOnlyAboveTheLimit() {
    int tenImages = 10 * RecentEvidence.bytesInMessage(KEY_BYTES);
    for (int extra = -1; extra <= 1; extra++) {
      RecentEvidence<String, Integer> evidence =
          RecentEvidence.forMessage(tenImages + extra, RecentEvidence::bytesOf);
      for (int i = 0; i < 10; i++) {
        evidence.put(name(i), i);
      }
      assertEquals(extra < 0 ? 9 : 10, evidence.copy().size());
      evidence.put(name(5), 55);
      evidence.put(name(10), 10);
      assertEquals(55, evidence.getOrDefault(name(5), -1));
      assertEquals(-1, evidence.getOrDefault(name(0), -1));
      assertEquals(10, evidence.getOrDefault(name(10), -1));
    }
  }

  @Test
  void evidenceThatIsObservedAgainIsKept() {
    RecentEvidence<String, Integer> evidence =
        RecentEvidence.forMessage(
            5 * RecentEvidence.bytesInMessage(KEY_BYTES), RecentEvidence::bytesOf);
    for (int i = 0; i < 1_000; i++) {
      evidence.put(name(0), i);
      evidence.put(name(1 + i), i);
    }
    assertEquals(999, evidence.getOrDefault(name(0), -1));
    assertEquals(5, evidence.copy().size());
  }

  /** Guards against a VM whose reports grow with all images that it has ever run. */
  @Test
  void evidenceOfOneVmIsBoundedWhateverItRuns() {
    ImageInterference images = new ImageInterference();
    InterferenceModel pairs = new InterferenceModel();
    for (int i = 0; i < 5_000; i++) {
      String image = name(i).repeat(1 + i % 100);
      images.observe(List.of(new ImageInterference.ImageLoad(image, 1_000)), 200);
      pairs.observe("service", 2, 1, Map.of(image, 0.5));
    }
    assertTrue(sizeOf(images.localEvidence()) <= ImageInterference.MAX_LOCAL_BYTES);
    int pairBytes =
        pairs.localEvidence().keySet().stream()
            .mapToInt(pair -> RecentEvidence.bytesInMessage(pair.nameBytes()))
            .sum();
    assertTrue(pairBytes <= InterferenceModel.MAX_LOCAL_BYTES);
    assertTrue(images.localEvidence().containsKey(name(4_999).repeat(100)));
  }

  /** Guards against evidence whose short names take a small part of the memory that it does. */
  @Test
  void evidenceOfManyShortNamesIsBoundedByItsMemory() {
    PairEvidenceAggregator pairs = new PairEvidenceAggregator();
    for (int i = 0; i < 100_000; i++) {
      ImagePair pair = new ImagePair("b" + i, "s");
      pairs.update("vm", Map.of(pair, new PairEvidence(0.1, 0.2)), 0);
    }
    ImagePair last = new ImagePair("last", "s");
    pairs.update("vm", Map.of(last, new PairEvidence(0.1, 0.2)), Long.MAX_VALUE / 2);
    assertTrue(pairs.total().containsKey(last));
    assertTrue(pairs.total().size() < PairEvidenceAggregator.MAX_BYTES / 260);
  }

  /** Guards against an entry whose memory grows with all VMs and images there have ever been. */
  @Test
  void evidenceOfAllVmsIsBounded() {
    ImageEvidenceAggregator images = new ImageEvidenceAggregator();
    PairEvidenceAggregator pairs = new PairEvidenceAggregator();
    String padding = "x".repeat(1_000);
    for (int vm = 0; vm < 2_000; vm++) {
      for (int i = 0; i < 10; i++) {
        String image = padding + vm + "-" + i;
        images.update("vm-" + vm + "-" + i, Map.of(image, new ImageInterference.Evidence(1, 2)));
        pairs.update(
            "vm-" + vm,
            Map.of(new ImagePair(image, "service"), new PairEvidence(0.1, 0.2)),
            vm * PairEvidenceAggregator.INTERVAL_NANOS);
      }
    }
    assertTrue(sizeOf(images.total()) <= 8 << 20);
    assertTrue(images.total().containsKey(padding + "1999-9"));
    assertTrue(images.total().size() > 5_000 && images.total().size() < 7_000);
    assertTrue(pairs.total().size() > 5_000 && pairs.total().size() < 7_000);
  }
}
