package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.JobState;

/**
 * State of a job for operators. Its JSON form is part of the operator API.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the job's name
 * @param team the team whose quota it uses
 * @param taskClass {@code latency-critical} or {@code batch}
 * @param count number of tasks
 * @param waiting number of waiting tasks
 * @param running number of claimed tasks, which run or are about to start
 * @param done number of tasks that ended with success
 * @param cancelled number of tasks that ended as cancelled
 * @param failed number of tasks that ended without success
 * @param ended whether all tasks have ended
 * @param acceptedMillis when it was accepted, in milliseconds since the Unix epoch
 * @param detail the reason of its cancellation, or else the reason for which tasks wait; may be
 *     empty
 */
public record JobView(
    String name,
    String team,
    String taskClass,
    int count,
    int waiting,
    int running,
    int done,
    int cancelled,
    int failed,
    boolean ended,
    long acceptedMillis,
    String detail) {
  /** Checks the components. */
  public JobView {
    requireNonNull(name, "name");
    requireNonNull(detail, "detail");
  }

  static JobView of(JobState job, String waitingReason) {
    String detail = job.cancelReason().isEmpty() ? waitingReason : job.cancelReason();
    return new JobView(
        job.spec().name(),
        job.spec().team(),
        job.spec().taskClass().code(),
        job.spec().count(),
        job.waiting(),
        job.claimed(),
        job.done(),
        job.cancelled(),
        job.failed(),
        job.ended(),
        job.acceptedMillis(),
        job.ended() && job.cancelReason().isEmpty() ? "" : detail);
  }
}
