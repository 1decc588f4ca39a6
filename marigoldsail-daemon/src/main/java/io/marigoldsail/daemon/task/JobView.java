package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.JobState;

/**
 * A job as operators see it; also its JSON form.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the job's name
 * @param team the team it counts against
 * @param taskClass {@code latency-critical} or {@code batch}
 * @param count how many tasks it has
 * @param waiting how many wait
 * @param running how many are claimed, so run or are about to
 * @param done how many ended with success
 * @param cancelled how many ended as cancelled
 * @param failed how many ended without success
 * @param ended whether all have ended
 * @param acceptedMillis when it was accepted, in milliseconds since the Unix epoch
 * @param detail why it was cancelled, or why tasks wait, or empty
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

  static JobView of(JobState job, String whyWaiting) {
    String detail = job.cancelReason().isEmpty() ? whyWaiting : job.cancelReason();
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
