package io.marigoldsail.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Quarantines VMs on which attempts fail that succeed elsewhere.
 *
 * <p>Guards against a worker that fails everything it starts: it is always empty, so a scheduler
 * that spreads load sends it task after task, and it consumes a fleet's queue in minutes. Counting
 * failures alone would quarantine healthy VMs when a team submits a job that fails everywhere. So a
 * VM is compared with the rest of the fleet, and at most one failure of each job counts until the
 * job has succeeded somewhere. A VM is quarantined when several jobs failed on it and its failure
 * rate is far above that of the others. After a backoff it is retried with one task at a time; the
 * backoff doubles while that fails.
 *
 * <p>Thread-safe. Counts decay with a half-life of {@value #HALF_LIFE_MILLIS} ms, so that a
 * repaired VM is used again. State is bounded by the VMs that {@link #retain} keeps.
 */
public final class WorkerHealth {
  /**
   * Half-life of the counts, in milliseconds: ten minutes, half as long as a VM typically stays
   * faulty.
   */
  static final long HALF_LIFE_MILLIS = 600_000;

  /** Failures that must count against a VM; two may be chance. */
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
    private long backoffMillis;
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

  /** Jobs of which an attempt succeeded anywhere; the least recently used are evicted. */
  private final Map<String, Boolean> succeeded =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_SUCCEEDED;
        }
      };

  /** Creates an instance without records. */
  public WorkerHealth() {}

  /**
   * Records the end of an attempt.
   *
   * @param vm the VM on which it ran
   * @param job its job
   * @param success whether it succeeded
   * @param nowMillis the time, in milliseconds of any monotonic clock
   */
  public synchronized void recordEnd(String vm, String job, boolean success, long nowMillis) {
    Counts counts = records.computeIfAbsent(vm, unused -> newCounts(nowMillis));
    counts.decay(nowMillis);
    if (success) {
      counts.successes++;
      succeeded.put(job, Boolean.TRUE);
      counts.onProbation = false;
      counts.backoffMillis = 0;
      return;
    }
    boolean firstOfJob = counts.blamedJobs.size() < MAX_JOBS && counts.blamedJobs.add(job);
    if (firstOfJob || succeeded.containsKey(job)) {
      counts.failures++;
    }
    if (counts.onProbation || isOutlier(vm, counts, nowMillis)) {
      quarantine(counts, nowMillis);
    }
  }

  /**
   * Returns whether the VM may be given a task.
   *
   * @param vm the VM
   * @param tasks number of tasks that run or are claimed there
   * @param nowMillis the time, in milliseconds of any monotonic clock
   */
  public synchronized boolean isUsable(String vm, int tasks, long nowMillis) {
    Counts counts = records.get(vm);
    if (counts == null || counts.quarantinedUntilMillis == 0) {
      return true;
    }
    if (nowMillis < counts.quarantinedUntilMillis) {
      return false;
    }
    if (counts.onProbation) {
      return tasks == 0;
    }
    return true;
  }

  /** Drops the records of all VMs but the given ones. */
  public synchronized void retain(Set<String> vms) {
    records.keySet().retainAll(vms);
  }

  private static Counts newCounts(long nowMillis) {
    Counts counts = new Counts();
    counts.countedMillis = nowMillis;
    return counts;
  }

  private static void quarantine(Counts counts, long nowMillis) {
    counts.backoffMillis =
        counts.backoffMillis == 0
            ? INITIAL_BACKOFF_MILLIS
            : Math.min(MAX_BACKOFF_MILLIS, 2 * counts.backoffMillis);
    counts.quarantinedUntilMillis = nowMillis + counts.backoffMillis;
    counts.onProbation = true;
  }

  /** Returns whether the failure rate of the VM stands out from that of all other VMs. */
  private boolean isOutlier(String vm, Counts counts, long nowMillis) {
    if (counts.failures < MIN_FAILURES) {
      return false;
    }
    double failures = 0;
    double total = 0;
    for (Map.Entry<String, Counts> other : records.entrySet()) {
      if (!other.getKey().equals(vm)) {
        other.getValue().decay(nowMillis);
        failures += other.getValue().failures;
        total += other.getValue().failures + other.getValue().successes;
      }
    }
    if (total == 0) {
      // Without ends elsewhere there is no comparison: the jobs may be at fault.
      return false;
    }
    double own = counts.failures / (counts.failures + counts.successes);
    // More than half of the runs that succeed elsewhere fail here.
    return own > (1 + failures / total) / 2;
  }
}
