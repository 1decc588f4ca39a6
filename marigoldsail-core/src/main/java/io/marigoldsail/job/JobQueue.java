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
 * The order in which waiting jobs get room, in one round of decisions.
 *
 * <p>Load pattern: many teams wait for a full fleet, one of them with thousands of tasks. First
 * come, first served would let that team hold the fleet for hours. So the team with the smallest
 * dominant share (its largest share of any one resource, divided by its weight) goes first; urgent
 * jobs go before others; and the longer a job has waited, the smaller its team's share counts, so
 * that nothing starves: after {@value #AGING_MILLIS} ms a job goes before even a team with nothing.
 * Among jobs of equal rank the one due first goes first, then the older.
 *
 * <p>A round costs one sort of the jobs and a logarithmic step for each pick. Not safe for use by
 * several threads.
 */
public final class JobQueue {
  /**
   * A job that waited so long, in milliseconds, counts as if its team had a whole fleet less. An
   * hour: an order above what a fair wait takes when 400 teams queue for tasks of some minutes.
   */
  public static final long AGING_MILLIS = 3_600_000;

  /**
   * Urgent jobs rank as if their team had so many whole fleets less. It is bounded, because a team
   * that calls all of its work urgent would starve the others else; with 2, work that is not urgent
   * has its turn after two hours.
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
   * Creates the order of one round.
   *
   * @param jobs the jobs; those without waiting tasks are passed over
   * @param bookedByTeam what each team's claims take up
   * @param quotas what each team may take up, by name
   * @param capacity what the fleet has
   * @param nowMillis the time, in milliseconds since the Unix epoch
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

  /**
   * Returns the job that gets room next, and takes it out of the round; empty when none is left.
   */
  public Optional<JobState> next() {
    RankedJob first = queue.poll();
    while (first != null) {
      double rank = rank(first.job());
      if (rank <= first.rank()) {
        return Optional.of(first.job());
      }
      // Its team has been given room since it was ranked.
      queue.add(new RankedJob(first.job(), rank));
      first = queue.poll();
    }
    return Optional.empty();
  }

  /** Returns whether the team's bound leaves room for the sizes; notes teams that it does not. */
  public boolean withinQuota(String team, Sizes sizes) {
    Sizes after = booked.getOrDefault(team, Sizes.NONE).plus(sizes);
    boolean within = after.fitsIn(quotas.apply(team).limit());
    if (!within) {
      overQuota.add(team);
    }
    return within;
  }

  /** Returns the teams that were found to be at their bound in this round. */
  public Set<String> overQuota() {
    return Set.copyOf(overQuota);
  }

  /** Notes that a task of the job was given room, and puts the job back if it has more to run. */
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
    double headStart = job.spec().urgent() ? URGENT_RANK_BONUS : 0;
    return share / quotas.apply(team).weight() - waited - headStart;
  }

  private double dominantShare(Sizes sizes) {
    double processors = fraction(sizes.milliProcessors(), capacity.milliProcessors());
    double memory = fraction(sizes.memoryBytes(), capacity.memoryBytes());
    double accelerators = fraction(sizes.accelerators(), capacity.accelerators());
    return Math.max(processors, Math.max(memory, accelerators));
  }

  private static double fraction(long taken, long whole) {
    return whole == 0 ? 0 : (double) taken / whole;
  }

  private static long deadlineMillis(JobState job) {
    long finishBy = job.spec().finishByMillis();
    return finishBy == 0 ? Long.MAX_VALUE : finishBy;
  }
}
