package io.marigoldsail.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Which VMs are set apart because attempts fail there that succeed elsewhere.
 *
 * <p>Load pattern: a worker that fails everything it starts is empty all the time, so whoever
 * spreads load sends it task after task; it eats a fleet's queue in minutes. Counting failures
 * alone would set healthy VMs apart when a team submits a job that fails everywhere. So a VM is
 * compared with the rest of the fleet, and of each job at most one failure counts until it has
 * succeeded somewhere: a VM is set apart when several jobs failed on it and its rate of failures is
 * far above the others'. It is tried again after a while with one task at a time, later and later
 * as long as that fails.
 *
 * <p>Safe for any thread. Counts fade by halves every {@value #HALF_LIFE_MILLIS} ms, so that a VM
 * that was mended is trusted again. State is bounded by the VMs that {@link #retain} keeps.
 */
public final class WorkerHealth {
  /** Half as long as a bad evening: ten minutes. */
  static final long HALF_LIFE_MILLIS = 600_000;

  /** So many failures must count against a VM; two may be chance. */
  private static final double MIN_FAILURES = 2.5;

  private static final long INITIAL_BACKOFF_MILLIS = 30_000;
  private static final long MAX_BACKOFF_MILLIS = 3_600_000;
  private static final int MAX_JOBS = 32;
  private static final int MAX_SUCCEEDED = 4_096;

  private static final class Counts {
    private final Set<String> blamedJobs = new HashSet<>();
    private double failures;
    private double successes;
    private long countedMillis;
    private long backOffMillis;
    private long quarantinedUntilMillis;
    private boolean onProbation;

    private void decay(long nowMillis) {
      double factor = Math.pow(0.5, (double) (nowMillis - countedMillis) / HALF_LIFE_MILLIS);
      failures *= factor;
      successes *= factor;
      countedMillis = nowMillis;
      if (failures < 0.5) {
        blamedJobs.clear();
      }
    }
  }

  private final Map<String, Counts> records = new HashMap<>();

  /** Jobs of which an attempt succeeded anywhere; the oldest are forgotten. */
  private final Map<String, Boolean> succeeded =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_SUCCEEDED;
        }
      };

  /** Creates health that has seen nothing. */
  public WorkerHealth() {}

  /**
   * Takes in the end of an attempt.
   *
   * @param vm where it ran
   * @param job the job it belongs to
   * @param success whether it ended with success
   * @param nowMillis the time, in milliseconds of any steady clock
   */
  public synchronized void recordEnd(String vm, String job, boolean success, long nowMillis) {
    Counts record = records.computeIfAbsent(vm, unused -> newCounts(nowMillis));
    record.decay(nowMillis);
    if (success) {
      record.successes++;
      succeeded.put(job, Boolean.TRUE);
      record.onProbation = false;
      record.backOffMillis = 0;
      return;
    }
    boolean firstOfJob = record.blamedJobs.size() < MAX_JOBS && record.blamedJobs.add(job);
    if (firstOfJob || succeeded.containsKey(job)) {
      record.failures++;
    }
    if (record.onProbation || isOutlier(vm, record, nowMillis)) {
      quarantine(record, nowMillis);
    }
  }

  /** Returns whether the VM may be given a task, when so many already run or are claimed there. */
  public synchronized boolean isUsable(String vm, int tasks, long nowMillis) {
    Counts record = records.get(vm);
    if (record == null || record.quarantinedUntilMillis == 0) {
      return true;
    }
    if (nowMillis < record.quarantinedUntilMillis) {
      return false;
    }
    if (record.onProbation) {
      return tasks == 0;
    }
    return true;
  }

  /** Forgets all VMs but the given ones. */
  public synchronized void retain(Set<String> vms) {
    records.keySet().retainAll(vms);
  }

  private static Counts newCounts(long nowMillis) {
    Counts record = new Counts();
    record.countedMillis = nowMillis;
    return record;
  }

  private static void quarantine(Counts record, long nowMillis) {
    record.backOffMillis =
        record.backOffMillis == 0
            ? INITIAL_BACKOFF_MILLIS
            : Math.min(MAX_BACKOFF_MILLIS, 2 * record.backOffMillis);
    record.quarantinedUntilMillis = nowMillis + record.backOffMillis;
    record.onProbation = true;
  }

  /** Returns whether the VM stands out from the others, itself left out of their rate. */
  private boolean isOutlier(String vm, Counts record, long nowMillis) {
    if (record.failures < MIN_FAILURES) {
      return false;
    }
    double failures = 0;
    double ends = 0;
    for (Map.Entry<String, Counts> other : records.entrySet()) {
      if (!other.getKey().equals(vm)) {
        other.getValue().decay(nowMillis);
        failures += other.getValue().failures;
        ends += other.getValue().failures + other.getValue().successes;
      }
    }
    if (ends == 0) {
      // Nothing to compare with: the jobs may be at fault.
      return false;
    }
    double own = record.failures / (record.failures + record.successes);
    // Half of what the others get right goes wrong here.
    return own > (1 + failures / ends) / 2;
  }
}
