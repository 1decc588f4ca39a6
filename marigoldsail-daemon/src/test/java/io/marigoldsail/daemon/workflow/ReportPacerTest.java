package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReportPacerTest {
  private static final long CHANGE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ReportPacer pacer = new ReportPacer();

  /** Returns the number of reports sent in ten seconds while a VM changes 25 times a second. */
  private int reportsOfBusyVm(int entries, boolean needsCapacity) {
    int sent = 0;
    for (long now = 0; now < 10 * SECOND_NANOS; now += CHANGE_NANOS) {
      int owner = (int) (now / CHANGE_NANOS) % entries;
      for (int entry = 0; entry < entries; entry++) {
        String member = "entry-" + entry;
        if (pacer.dueAt(member, entry == owner, needsCapacity, entries, now) <= now) {
          pacer.reportSent(member, now);
          sent++;
        }
      }
    }
    return sent;
  }

  /**
   * Under load a VM changes 25 times a second. Reporting each change to all of twelve entries at
   * once takes 3,000 reports in ten seconds from each VM, which fills an entry's low-bandwidth
   * link.
   */
  @Test
  void reportRateDoesNotGrowWithTheNumberOfEntries() {
    int toThree = reportsOfBusyVm(3, true);
    int toTwelve = new ReportPacerTest().reportsOfBusyVm(12, true);
    assertTrue(
        toTwelve <= toThree * 1.25,
        toTwelve + " reports to twelve entries, " + toThree + " to three");
  }

  /**
   * Guards against a calm fleet that spends its processor time on reports of capacity that place
   * nothing.
   */
  @Test
  void entriesThatNeedNoCapacityGetFewReports() {
    int needed = reportsOfBusyVm(15, true);
    int unneeded = new ReportPacerTest().reportsOfBusyVm(15, false);
    int ofChangedRuns = (int) (10 * SECOND_NANOS / CHANGE_NANOS);
    assertTrue(
        unneeded - ofChangedRuns <= (needed - ofChangedRuns) / 2,
        unneeded + " reports, " + needed + " while capacity is needed");
  }

  @Test
  void affectedEntryIsReportedToAtOnce() {
    pacer.reportSent("owner", 100);
    assertEquals(101, pacer.dueAt("owner", true, true, 12, 101));
    assertEquals(101, pacer.dueAt("owner", true, false, 12, 101));
  }

  @Test
  void otherEntriesAreReportedToAtTheMinimumInterval() {
    pacer.reportSent("other", 100);
    assertEquals(100 + 3 * ReportPacer.SPACING_NANOS, pacer.dueAt("other", false, true, 3, 101));
    assertEquals(
        100 + 4 * ReportPacer.WIDE_SPACING_NANOS, pacer.dueAt("other", false, true, 4, 101));
    assertEquals(100 + ReportPacer.MAX_INTERVAL_NANOS, pacer.dueAt("other", false, true, 12, 101));
    long late = 100 + ReportPacer.MAX_INTERVAL_NANOS + 1;
    assertEquals(late, pacer.dueAt("other", false, true, 12, late));
  }

  /**
   * In a large fleet, periodic reports from every VM to every entry, and the leases sent in
   * response, are most of the entries' traffic, though most entries own no run on the VM. An entry
   * that is reported to too rarely, however, considers the VM disconnected and places no work
   * there.
   */
  @Test
  void nonOwnerGetsEverySecondPeriodicReportBeforeTheVmCountsAsUnresponsive() {
    int owner = 0;
    int other = 0;
    for (int round = 0; round < 20; round++) {
      pacer.beginRound();
      if (pacer.isPeriodicReportDue("owner", true)) {
        pacer.periodicReportSent("owner", round);
        owner++;
      }
      if (pacer.isPeriodicReportDue("other", false)) {
        pacer.periodicReportSent("other", round);
        other++;
      }
    }
    assertEquals(20, owner);
    assertEquals(10, other);
    long interval = ReportPacer.NON_OWNER_ROUNDS * WorkflowSideProcess.REPORT_INTERVAL_NANOS;
    assertTrue(interval < VmAvailability.UNRESPONSIVE_NANOS * 2 / 3, interval + " ns");
  }

  /**
   * Guards against leases that a busy VM requests from entries that own nothing there and have just
   * been sent its capacity.
   */
  @Test
  void nonOwnerThatIsSentChangesGetsFewPeriodicReports() {
    int periodic = 0;
    for (int round = 0; round < 20; round++) {
      pacer.beginRound();
      if (pacer.isPeriodicReportDue("other", false)) {
        pacer.periodicReportSent("other", round);
        periodic++;
      }
      pacer.reportSent("other", round);
    }
    assertEquals(5, periodic);
  }

  @Test
  void newOrRemovedEntryIsReportedToAtOnce() {
    assertEquals(7, pacer.dueAt("new", false, true, 3, 7));
    pacer.reportSent("returning", 7);
    pacer.remove("returning");
    assertEquals(8, pacer.dueAt("returning", false, true, 3, 8));
  }
}
