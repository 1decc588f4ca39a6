package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.ImagePair;
import io.marigoldsail.colocation.PairEvidence;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PairReportsTest {
  private static final long INTERVAL = 100;
  private static final ImagePair FIRST = new ImagePair("heavy", "s");
  private static final ImagePair SECOND = new ImagePair("light", "s");
  private static final PairEvidence SEEN = new PairEvidence(0.1, 0.8);

  private final PairReports reports = new PairReports(INTERVAL);

  /** Guards against reports to all entries that grow with all pairs ever seen. */
  @Test
  void onlyChangesAreReported() {
    assertEquals(Map.of(FIRST, SEEN), reports.changes("entry-0", Map.of(FIRST, SEEN)));
    assertEquals(
        Map.of(SECOND, SEEN), reports.changes("entry-0", Map.of(FIRST, SEEN, SECOND, SEEN)));
    assertEquals(Map.of(FIRST, SEEN), reports.changes("entry-1", Map.of(FIRST, SEEN)));
  }

  /** Guards against evidence that a lost connection or a restarted entry has lost. */
  @Test
  void allIsReportedAgainOnANewConnection() {
    Map<ImagePair, PairEvidence> unused = reports.changes("entry-0", Map.of(FIRST, SEEN));
    assertTrue(reports.tryAcquire("entry-0", 0));
    assertFalse(reports.tryAcquire("entry-0", INTERVAL - 1));
    reports.remove("entry-0");
    assertTrue(reports.tryAcquire("entry-0", INTERVAL - 1));
    assertEquals(unused, reports.changes("entry-0", Map.of(FIRST, SEEN)));
  }

  /** Guards against pairs that are kept as reported after their evidence was forgotten. */
  @Test
  void forgottenEvidenceIsReportedAgainWhenItIsSeenAgain() {
    Map<ImagePair, PairEvidence> both = Map.of(FIRST, SEEN, SECOND, SEEN);
    assertEquals(both, reports.changes("entry-0", both));
    assertEquals(Map.of(), reports.changes("entry-0", Map.of(SECOND, SEEN)));
    assertEquals(Map.of(FIRST, SEEN), reports.changes("entry-0", both));
  }
}
