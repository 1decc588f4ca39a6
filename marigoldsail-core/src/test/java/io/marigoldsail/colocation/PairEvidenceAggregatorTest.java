package io.marigoldsail.colocation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

class PairEvidenceAggregatorTest {
  private static final ImagePair PAIR = new ImagePair("heavy", "s");

  private final PairEvidenceAggregator aggregator = new PairEvidenceAggregator();

  private boolean update(String vm, double work, long now) {
    return aggregator.update(vm, Map.of(PAIR, new PairEvidence(work, 8 * work)), now);
  }

  /** Guards against a report that arrives twice and counts twice. */
  @Test
  void evidenceOfAVmReplacesItsEarlierEvidence() {
    assertTrue(update("vm-0", 0.1, 0));
    update("vm-0", 0.2, 1);
    assertTrue(update("vm-1", 0.3, PairEvidenceAggregator.INTERVAL_NANOS));
    assertEquals(0.5, aggregator.total().get(PAIR).work(), 1e-9);
  }

  /** Guards against pairs that are forgotten because a VM reports only what has changed. */
  @Test
  void pairsThatAreNotReportedAgainAreKept() {
    update("vm-0", 0.1, 0);
    ImagePair other = new ImagePair("light", "s");
    aggregator.update(
        "vm-0", Map.of(other, new PairEvidence(0.2, 0)), PairEvidenceAggregator.INTERVAL_NANOS);
    assertEquals(0.1, aggregator.total().get(PAIR).work(), 1e-9);
    assertEquals(0.2, aggregator.total().get(other).work(), 1e-9);
  }

  /** Guards against sums over the fleet that are formed with each of many reports. */
  @Test
  void totalIsFormedAtIntervals() {
    assertTrue(update("vm-0", 0.1, 0));
    assertFalse(update("vm-1", 0.1, PairEvidenceAggregator.INTERVAL_NANOS - 1));
    assertEquals(0.1, aggregator.total().get(PAIR).work(), 1e-9);
  }
}
