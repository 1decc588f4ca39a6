package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.protocol.PartitionEvidence;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LeaseGranterTest {
  private static PartitionEvidence evidence(long afterReportNanos) {
    return LeaseGranter.evidence(3, 7_000, afterReportNanos);
  }

  @Test
  void evidenceNamesPartitionEpochAndAge() {
    PartitionEvidence evidence = evidence(-TimeUnit.MILLISECONDS.toNanos(250));
    assertEquals(3, evidence.getPartition());
    assertEquals(7_000, evidence.getEpoch());
    assertEquals(-250, evidence.getAfterReportMillis());
  }

  /** Guards against a fraction of a millisecond that makes evidence newer than it is. */
  @Test
  void ageOfEvidenceIsRoundedUp() {
    assertEquals(-1, evidence(-1).getAfterReportMillis());
    assertEquals(0, evidence(1).getAfterReportMillis());
  }

  /**
   * Guards against evidence that is dated too late on a slow worker's clock, because the last
   * report of its VM is old.
   */
  @Test
  void evidenceLongAfterTheReportCountsForLess() {
    assertEquals(970, evidence(TimeUnit.SECONDS.toNanos(1)).getAfterReportMillis());
    assertEquals(19_400, evidence(TimeUnit.SECONDS.toNanos(20)).getAfterReportMillis());
    assertEquals(-20_000, evidence(-TimeUnit.SECONDS.toNanos(20)).getAfterReportMillis());
  }

  /**
   * Guards against the evidence of a partition that was idle for weeks being taken for evidence
   * from the future, with which a side process extends leases for weeks without its owner.
   */
  @Test
  void evidenceOfLongIdlePartitionIsOld() {
    for (int days : new int[] {24, 25, 30, 50, 100, 10_000}) {
      int millis = evidence(-TimeUnit.DAYS.toNanos(days)).getAfterReportMillis();
      assertTrue(millis <= -TimeUnit.DAYS.toMillis(24), days + " days: " + millis + " ms");
    }
  }
}
