package io.marigoldsail.daemon.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.LeaseTerms;
import io.marigoldsail.testlib.platform.WorkerRun;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Measures the outages that tasks survive and the failover time for several lease lengths. Prints
 * the rows of the table in the operators' documentation.
 */
class LeaseTermsTest {
  private static final Sizes CAPACITY = new Sizes(2_000, 100_000, 0);
  private static final long START_MILLIS = 10_000;
  private static final long STEP_MILLIS = 1_000;

  private static TaskTestCluster newCluster(long leaseMillis) {
    LeaseTerms leases =
        new LeaseTerms(leaseMillis, leaseMillis, LeaseTerms.DEFAULT.silenceMillis());
    TaskTestCluster cluster = new TaskTestCluster(21, 2, 2, CAPACITY, leases);
    cluster.submit(TaskTestCluster.job("watch", 2, 10_000_000));
    cluster.run(START_MILLIS + leaseMillis);
    return cluster;
  }

  private static boolean survives(long leaseMillis, long outageMillis) {
    TaskTestCluster cluster = newCluster(leaseMillis);
    cluster.log().down(true);
    cluster.run(outageMillis);
    cluster.log().down(false);
    cluster.run(5_000);
    return cluster.runs().size() == 2;
  }

  private static long longestSurvived(long leaseMillis) {
    long outage = leaseMillis * 4 / 5 - 2_000;
    assertTrue(survives(leaseMillis, outage));
    while (survives(leaseMillis, outage + STEP_MILLIS)) {
      outage += STEP_MILLIS;
    }
    return outage;
  }

  private static long failoverMillis(long leaseMillis) {
    TaskTestCluster cluster = newCluster(leaseMillis);
    long disconnectedMillis = cluster.clock().millis();
    cluster.cut("vm-1");
    while (cluster.runs().size() == 2) {
      cluster.run(TaskTestCluster.STEP_MILLIS);
    }
    List<WorkerRun> runs = cluster.runs();
    assertEquals(List.of(), cluster.violations());
    return runs.get(runs.size() - 1).startMillis() - disconnectedMillis;
  }

  /**
   * Finds the longest outage of the log that running tasks survive, and the failover time after a
   * VM becomes unreachable. Tasks must survive an outage of four fifths of a lease less 2 s, and
   * must run elsewhere at most 10 s after the VM was revoked and its leases have expired.
   */
  @ParameterizedTest
  @ValueSource(longs = {10_000, 20_000, 30_000, 60_000, 120_000, 300_000})
  void leaseLengthBoundsOutageToleranceAndFailover(long leaseMillis) {
    long survived = longestSurvived(leaseMillis);
    long failover = failoverMillis(leaseMillis);
    System.out.printf(
        "lease-table,lease_s=%d,outage_survived_s=%d,failover_s=%.1f%n",
        leaseMillis / 1_000, survived / 1_000, failover / 1_000.0);

    assertTrue(survived < leaseMillis, () -> "survived " + survived);
    long maxFailover =
        LeaseTerms.DEFAULT.silenceMillis() + LeaseTerms.maxRemainingMillis(leaseMillis) + 10_000;
    assertTrue(failover > leaseMillis && failover <= maxFailover, () -> "failover " + failover);
  }
}
