package io.marigoldsail.daemon.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.LeaseTerms;
import io.marigoldsail.testlib.platform.WorkerRun;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a lease's length buys and costs; prints the rows of the table in the operators' page. */
class LeaseTermsTest {
  private static final Sizes CAPACITY = new Sizes(2_000, 100_000, 0);
  private static final long START_MILLIS = 10_000;
  private static final long STEP_MILLIS = 1_000;

  private static TaskTestCluster newCluster(long leaseMillis) {
    LeaseTerms leases =
        new LeaseTerms(leaseMillis, leaseMillis, LeaseTerms.DEFAULT.silenceMillis());
    TaskTestCluster world = new TaskTestCluster(21, 2, 2, CAPACITY, leases);
    world.submit(TaskTestCluster.job("watch", 2, 10_000_000));
    world.run(START_MILLIS + leaseMillis);
    return world;
  }

  private static boolean survives(long leaseMillis, long outageMillis) {
    TaskTestCluster world = newCluster(leaseMillis);
    world.log().down(true);
    world.run(outageMillis);
    world.log().down(false);
    world.run(5_000);
    return world.runs().size() == 2;
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
    TaskTestCluster world = newCluster(leaseMillis);
    long diedMillis = world.clock().millis();
    world.cut("vm-1");
    while (world.runs().size() == 2) {
      world.run(TaskTestCluster.STEP_MILLIS);
    }
    List<WorkerRun> runs = world.runs();
    assertEquals(List.of(), world.violations());
    return runs.get(runs.size() - 1).startMillis() - diedMillis;
  }

  /**
   * The log is down ever longer, until a running task is stopped; and a VM dies silently. Tasks
   * outlive at least four fifths of a lease, and run elsewhere not much later than a lease after
   * their VM was missed.
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
    long most =
        LeaseTerms.DEFAULT.silenceMillis() + LeaseTerms.maxRemainingMillis(leaseMillis) + 10_000;
    assertTrue(failover > leaseMillis && failover <= most, () -> "failover " + failover);
  }
}
