package io.marigoldsail.testlib.history;

import io.marigoldsail.lease.WorkerTask.State;
import io.marigoldsail.testlib.platform.WorkerRun;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks the records of workers for tasks that ran in more than one place at a time. */
public final class TaskHistory {
  private TaskHistory() {}

  /**
   * Returns the violations in the records of all workers, whose clocks must be synchronized.
   *
   * @param runs all runs of all workers
   * @param nowMillis the assumed end of runs that have not ended
   */
  public static List<String> violations(List<WorkerRun> runs, long nowMillis) {
    Map<String, List<WorkerRun>> byTask = new TreeMap<>();
    for (WorkerRun run : runs) {
      byTask.computeIfAbsent(run.task(), unused -> new ArrayList<>()).add(run);
    }
    List<String> violations = new ArrayList<>();
    byTask.values().forEach(runsOfTask -> check(runsOfTask, nowMillis, violations));
    return violations;
  }

  private static void check(List<WorkerRun> runs, long nowMillis, List<String> violations) {
    runs.sort(Comparator.comparingLong(WorkerRun::startMillis).thenComparing(WorkerRun::token));
    WorkerRun latestEnding = null;
    WorkerRun done = null;
    for (WorkerRun run : runs) {
      if (latestEnding != null && run.startMillis() < end(latestEnding, nowMillis)) {
        violations.add(describe(run) + " started while " + describe(latestEnding) + " ran");
      }
      if (latestEnding != null && run.token() <= latestEnding.token()) {
        violations.add(describe(run) + " started after the newer " + describe(latestEnding));
      }
      if (done != null) {
        violations.add(describe(run) + " started after " + describe(done) + " was done");
      }
      if (run.state() == State.DONE) {
        done = run;
      }
      if (latestEnding == null || end(run, nowMillis) >= end(latestEnding, nowMillis)) {
        latestEnding = run;
      }
    }
  }

  private static long end(WorkerRun run, long nowMillis) {
    return run.endMillis() == 0 ? nowMillis : run.endMillis();
  }

  private static String describe(WorkerRun run) {
    return run.task() + "@" + run.token() + " on " + run.worker();
  }
}
