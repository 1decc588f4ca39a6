package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import java.util.Collection;
import java.util.Set;

/** Finds the runs to stop because their owners are unresponsive. Stateless. */
final class OverdueRuns {
  private static final EventLog LOG = EventLog.of(OverdueRuns.class);

  private OverdueRuns() {}

  /**
   * Returns the runs that are not stopping and whose outdated evidence would let the worker's lease
   * expire for all its runs.
   */
  static ImmutableList<SideRun> find(WorkerLease lease, Collection<SideRun> runs) {
    Set<Integer> overdue = lease.overduePartitions(SideRun.partitions(runs));
    ImmutableList<SideRun> found =
        runs.stream()
            .filter(run -> overdue.contains(run.partition()) && !run.isStopping())
            .collect(ImmutableList.toImmutableList());
    found.forEach(OverdueRuns::log);
    return found;
  }

  private static void log(SideRun run) {
    LOG.warning(
        LogLine.of("run-overdue")
            .with("run", run.key())
            .with("partition", run.partition())
            .with("reason", "no recent ownership evidence for the partition"));
  }
}
