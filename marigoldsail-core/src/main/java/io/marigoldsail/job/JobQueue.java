package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;

/**
 * Priority queue of waiting jobs for one scheduling round, ordered by weighted dominant resource
 * fairness.
 *
 * <p>The job with the lowest rank is first. The rank is the dominant share of the job's team (its
 * largest share of any one resource, divided by its weight), minus a bonus for urgent jobs, minus
 * the time that the job has waited in units of {@value #AGING_MILLIS} ms. Jobs of equal rank are
 * ordered by deadline, then by acceptance.
 *
 * <p>First come, first served would let a team with thousands of waiting tasks hold a full fleet
 * for hours. The waiting time prevents starvation: a job that has waited {@value #AGING_MILLIS} ms
 * goes before a new job of a team that holds nothing.
 *
 * <p>Building the queue takes O(n log n), each pick O(log n). Not thread-safe.
 */
public final class JobQueue {
  /**
   * Waiting time that lowers a job's rank by the share of one whole fleet, in milliseconds. One
   * hour is about ten times the fair waiting time of 400 teams with tasks of a few minutes.
   */
  public static final long AGING_MILLIS = 3_600_000;

  /**
   * Reduction of an urgent job's rank, in shares of one whole fleet. Bounded, because a team that
   * marks all of its jobs urgent would otherwise starve the others. With 2, other jobs go first
   * after waiting two hours.
   */
  private static final double URGENT_RANK_BONUS = 2;

  private final Function<String, TeamQuota> quotas;
  private final Sizes capacity;
  private final long nowMillis;
  private final Map<String, Sizes> booked;
  private final Set<String> overQuota = new HashSet<>();
  private final PriorityQueue<RankedJob> queue;

  private record RankedJob(JobState job, double rank) {}

  /**
   * Creates the queue of one round.
   *
   * @param jobs the jobs; those without waiting tasks are skipped
   * @param bookedByTeam the resources that each team's claims have booked; teams without claims may
   *     be missing
   * @param quotas returns the quota of a team by its name
   * @param capacity the total capacity of the fleet
   * @param nowMillis the current time, in milliseconds since the Unix epoch
   */
  public JobQueue(
      List<JobState> jobs,
      Map<String, Sizes> bookedByTeam,
      Function<String, TeamQuota> quotas,
      Sizes capacity,
      long nowMillis) {
    this.booked = new HashMap<>(bookedByTeam);
    this.quotas = requireNonNull(quotas, "quotas");
    this.capacity = requireNonNull(capacity, "capacity");
    this.nowMillis = nowMillis;
    Comparator<RankedJob> byRank = Comparator.comparingDouble(RankedJob::rank);
    this.queue =
        new PriorityQueue<>(
            byRank
                .thenComparingLong(ranked -> deadlineMillis(ranked.job()))
                .thenComparingLong(ranked -> ranked.job().accepted()));
    for (JobState job : jobs) {
      if (job.waiting() > 0) {
        queue.add(new RankedJob(job, rank(job)));
      }
    }
  }

  /** Removes and returns the job of the lowest rank; empty if none is left. */
  public Optional<JobState> next() {
    RankedJob head = queue.poll();
    while (head != null) {
      double rank = rank(head.job());
      if (rank <= head.rank()) {
        return Optional.of(head.job());
      }
      // Its team has been allocated capacity since the job was ranked.
      queue.add(new RankedJob(head.job(), rank));
      head = queue.poll();
    }
    return Optional.empty();
  }

  /** Returns whether the team stays within its limit with the sizes; if not, records the team. */
  public boolean withinQuota(String team, Sizes sizes) {
    Sizes after = booked.getOrDefault(team, Sizes.NONE).plus(sizes);
    boolean within = after.fitsIn(quotas.apply(team).limit());
    if (!within) {
      overQuota.add(team);
    }
    return within;
  }

  /** Returns the teams for which {@link #withinQuota} has returned false in this round. */
  public Set<String> overQuota() {
    return Set.copyOf(overQuota);
  }

  /** Records an allocation to a task of the job, and requeues the job if it has more tasks. */
  public void recordAllocation(JobState job, Sizes sizes, boolean more) {
    booked.merge(job.spec().team(), sizes, Sizes::plus);
    if (more) {
      queue.add(new RankedJob(job, rank(job)));
    }
  }

  private double rank(JobState job) {
    String team = job.spec().team();
    double share = dominantShare(booked.getOrDefault(team, Sizes.NONE));
    double waited = (double) Math.max(0, nowMillis - job.acceptedMillis()) / AGING_MILLIS;
    double urgentBonus = job.spec().urgent() ? URGENT_RANK_BONUS : 0;
    return share / quotas.apply(team).weight() - waited - urgentBonus;
  }

  private double dominantShare(Sizes sizes) {
    double processors = fraction(sizes.milliProcessors(), capacity.milliProcessors());
    double memory = fraction(sizes.memoryBytes(), capacity.memoryBytes());
    double accelerators = fraction(sizes.accelerators(), capacity.accelerators());
    return Math.max(processors, Math.max(memory, accelerators));
  }

  private static double fraction(long used, long total) {
    return total == 0 ? 0 : (double) used / total;
  }

  private static long deadlineMillis(JobState job) {
    long finishBy = job.spec().finishByMillis();
    return finishBy == 0 ? Long.MAX_VALUE : finishBy;
  }
}
