package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import org.junit.jupiter.api.Test;

class OvercommitTest {
  private static final long BOOKED_MILLI = 26_000;

  private static int bookAll(ResourceLedger ledger) {
    ResourceLedger.Claim bestEffort =
        new ResourceLedger.Claim(new Sizes(3_500, 10, 0), true, Urgency.ORDINARY);
    int taken = 0;
    while (ledger.tryBook(
        new RunKey(new TaskKey(WorkflowFixtures.id(2), 0, 0, taken), 1), bestEffort)) {
      taken++;
    }
    return taken;
  }

  private static ResourceLedger withServices(Overcommit overcommit) {
    ResourceLedger ledger = new ResourceLedger(overcommit);
    ledger.capacity(new Sizes(32_000, 1_000, 0));
    RunKey services = new RunKey(new TaskKey(WorkflowFixtures.id(1), 0, 0, 0), 1);
    ledger.book(
        services,
        new ResourceLedger.Claim(new Sizes(BOOKED_MILLI, 100, 0), false, Urgency.ORDINARY));
    return ledger;
  }

  /**
   * A burst of heavy workflows meets a fleet on which services book most processors and use half of
   * them. Guards against heavy tasks that wait beside idle processors until they are late.
   */
  @Test
  void idleBookedProcessorsAreOvercommitted() {
    Overcommit overcommit = new Overcommit();
    for (int reading = 0; reading < 5; reading++) {
      overcommit.observe(10_000, 9_000, 60);
    }
    assertEquals(7, bookAll(withServices(overcommit)));
  }

  /**
   * Services use all processors that they book. Guards against starting ever more heavy tasks, each
   * slower than the one before.
   */
  @Test
  void busyBookedProcessorsAreNotOvercommitted() {
    Overcommit overcommit = new Overcommit();
    for (int reading = 0; reading < 8; reading++) {
      overcommit.observe(10_000, 3_000, 60);
    }
    assertEquals(Overcommit.BASE_MILLI_PROCESSORS, overcommit.milliProcessors(BOOKED_MILLI));
    assertEquals(3, bookAll(withServices(overcommit)));
  }

  /**
   * Many heavy tasks that do not interfere one by one do so together beside a service. Guards
   * against starting still more of them.
   */
  @Test
  void aTailOverItsTargetReducesOvercommit() {
    Overcommit overcommit = new Overcommit();
    long before = overcommit.milliProcessors(BOOKED_MILLI);
    overcommit.observe(10_000, 9_000, 120);
    assertTrue(overcommit.milliProcessors(BOOKED_MILLI) < before);
  }

  @Test
  void overcommitRecoversWhenProcessorsAreIdleAgain() {
    Overcommit overcommit = new Overcommit();
    overcommit.observe(10_000, 3_000, 60);
    long lacking = overcommit.milliProcessors(BOOKED_MILLI);
    overcommit.observe(10_000, 9_000, 60);
    assertTrue(overcommit.milliProcessors(BOOKED_MILLI) > lacking);
    for (int reading = 0; reading < 20; reading++) {
      overcommit.observe(10_000, 9_000, 60);
    }
    assertEquals(
        Overcommit.BASE_MILLI_PROCESSORS + BOOKED_MILLI * Overcommit.MAX_PERCENT / 100,
        overcommit.milliProcessors(BOOKED_MILLI));
  }

  @Test
  void ignoresReadingsOfLittleDemand() {
    Overcommit overcommit = new Overcommit();
    overcommit.observe(500, 0, 60);
    assertEquals(
        new Overcommit().milliProcessors(BOOKED_MILLI), overcommit.milliProcessors(BOOKED_MILLI));
  }
}
