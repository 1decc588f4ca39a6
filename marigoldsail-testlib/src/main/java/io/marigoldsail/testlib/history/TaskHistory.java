package io.marigoldsail.testlib.history;

import io.marigoldsail.lease.WorkerTask.State;
import io.marigoldsail.testlib.platform.WorkerRun;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Holds workers' records against "every task runs in exactly one place". */
public final class TaskHistory {
  private TaskHistory() {}

  /**
   * Returns the violations in the records of all workers, whose clocks must agree.
   *
   * @param runs all runs of all workers
   * @param nowMillis until when a run counts that has not ended
   */
  public static List<String> violations(List<WorkerRun> runs, long nowMillis) {
    Map<String, List<WorkerRun>> byTask = new TreeMap<>();
    for (WorkerRun run : runs) {
      byTask.computeIfAbsent(run.task(), unused -> new ArrayList<>()).add(run);
    }
    List<String> found = new ArrayList<>();
    byTask.values().forEach(ofTask -> check(ofTask, nowMillis, found));
    return found;
  }

  private static void check(List<WorkerRun> runs, long nowMillis, List<String> found) {
    runs.sort(Comparator.comparingLong(WorkerRun::startMillis).thenComparing(WorkerRun::token));
    WorkerRun longest = null;
    WorkerRun done = null;
    for (WorkerRun run : runs) {
      if (longest != null && run.startMillis() < end(longest, nowMillis)) {
        found.add(describe(run) + " began while " + describe(longest) + " ran");
      }
      if (longest != null && run.token() <= longest.token()) {
        found.add(describe(run) + " began after the newer " + describe(longest));
      }
      if (done != null) {
        found.add(describe(run) + " began after " + describe(done) + " was done");
      }
      if (run.state() == State.DONE) {
        done = run;
      }
      if (longest == null || end(run, nowMillis) >= end(longest, nowMillis)) {
        longest = run;
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
