package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReportPacerTest {
  private static final long CHANGE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ReportPacer pacer = new ReportPacer();

  /** Returns how many reports go out in ten seconds in which a VM changes 25 times a second. */
  private int reportsOfBusyVm(int entries) {
    int sent = 0;
    for (long now = 0; now < 10 * SECOND_NANOS; now += CHANGE_NANOS) {
      int owner = (int) (now / CHANGE_NANOS) % entries;
      for (int entry = 0; entry < entries; entry++) {
        String member = "entry-" + entry;
        if (pacer.dueAt(member, entry == owner, entries, now) <= now) {
          pacer.reportSent(member, now);
          sent++;
        }
      }
    }
    return sent;
  }

  /**
   * Under load a VM changes 25 times a second. Told to all of twelve entries at once that were
   * 3,000 reports in ten seconds from each VM, and an entry with a thin link read little else.
   */
  @Test
  void reportRateDoesNotGrowWithTheNumberOfEntries() {
    int toThree = reportsOfBusyVm(3);
    int toTwelve = new ReportPacerTest().reportsOfBusyVm(12);
    assertTrue(toTwelve <= toThree * 1.25, toTwelve + " to twelve, " + toThree + " to three");
  }

  @Test
  void affectedEntryIsReportedToAtOnce() {
    pacer.reportSent("owner", 100);
    assertEquals(101, pacer.dueAt("owner", true, 12, 101));
  }

  @Test
  void otherEntriesAreReportedToAtTheMinimumInterval() {
    pacer.reportSent("other", 100);
    assertEquals(100 + 12 * ReportPacer.SPACING_NANOS, pacer.dueAt("other", false, 12, 101));
    long late = 100 + 20 * ReportPacer.SPACING_NANOS;
    assertEquals(late, pacer.dueAt("other", false, 12, late));
  }

  /**
   * Every VM sent every entry its whole state in each regular turn and was sent a lease for it,
   * also where the entry had nothing at work there: in a large fleet that was most of what entries
   * read and wrote. But one that is told too seldom gives the VM no work, as if it were cut off.
   */
  @Test
  void nonOwnerGetsEverySecondPeriodicReportBeforeTheVmCountsAsUnresponsive() {
    int owner = 0;
    int other = 0;
    for (int turn = 0; turn < 20; turn++) {
      pacer.beginRound();
      if (pacer.isPeriodicReportDue("owner", true)) {
        pacer.periodicReportSent("owner", turn);
        owner++;
      }
      if (pacer.isPeriodicReportDue("other", false)) {
        pacer.periodicReportSent("other", turn);
        other++;
      }
    }
    assertEquals(20, owner);
    assertEquals(10, other);
    long between = ReportPacer.NON_OWNER_ROUNDS * WorkflowSideProcess.REPORT_INTERVAL_NANOS;
    assertTrue(between < VmAvailability.UNRESPONSIVE_NANOS * 2 / 3, between + " ns");
  }

  @Test
  void newOrRemovedEntryIsReportedToAtOnce() {
    assertEquals(7, pacer.dueAt("new", false, 3, 7));
    pacer.reportSent("back", 7);
    pacer.remove("back");
    assertEquals(8, pacer.dueAt("back", false, 3, 8));
  }
}
