package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.job.JobFile;
import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.JobState;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.placement.Fleet;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Operator API of an entry for jobs and tasks.
 *
 * <p>{@code POST /jobs} calls {@link #submit}, {@code DELETE /jobs/{name}} calls {@link #cancel},
 * {@code GET /jobs} calls {@link #jobs}, {@code GET /jobs/{name}} calls {@link #job} and {@code GET
 * /tasks/{job}/{index}} calls {@link #task}.
 *
 * <p>Thread-safe; no method blocks.
 */
public final class TaskRoutes {
  private final TaskTable table;
  private final TaskLog log;
  private final EntryTaskScheduler scheduler;
  private final Supplier<TaskPolicy> policy;
  private final WallClock wallClock;
  private final EventRecorder recorder;

  /**
   * Creates the routes.
   *
   * @param table the task table
   * @param log appends to the stream of tasks
   * @param scheduler the task scheduler of this entry
   * @param policy returns the policy of the configuration in force
   * @param wallClock the wall clock
   * @param recorder receives events
   */
  public TaskRoutes(
      TaskTable table,
      TaskLog log,
      EntryTaskScheduler scheduler,
      Supplier<TaskPolicy> policy,
      WallClock wallClock,
      EventRecorder recorder) {
    this.table = requireNonNull(table, "table");
    this.log = requireNonNull(log, "log");
    this.scheduler = requireNonNull(scheduler, "scheduler");
    this.policy = requireNonNull(policy, "policy");
    this.wallClock = requireNonNull(wallClock, "wallClock");
    this.recorder = requireNonNull(recorder, "recorder");
  }

  /**
   * Accepts a job and completes once the record has been read back from the log.
   *
   * <p>Submitting the same job again succeeds and has no effect. Fails with {@code INVALID_CONTENT}
   * for an invalid file, {@code CONFLICT} if a different job has the name, {@code NEVER_FITS} if a
   * task exceeds every VM or the team's quota, {@code LOG_UNAVAILABLE} or {@code
   * LOG_OUTCOME_UNKNOWN}. After any failure the same file may be submitted again.
   *
   * @param fileName the file's name for failure messages
   * @param file the content of the job file
   */
  public CompletableFuture<Result<JobView>> submit(String fileName, byte[] file) {
    Result<JobSpec> read = JobFile.read(fileName, file).then(this::checkFeasible);
    if (read instanceof Result.Failed<JobSpec> failed) {
      recorder.record(Event.of(EventKind.JOB_REFUSED).withDetail(failed.failure().detail()));
      return CompletableFuture.completedFuture(Result.failed(failed.failure()));
    }
    JobSpec spec = read.value();
    if (table.job(spec.name()).isPresent()) {
      return CompletableFuture.completedFuture(acceptedView(spec));
    }
    return log.append(new TaskRecord.JobAccepted(spec, wallClock.millis()))
        .thenApply(appended -> appended.then(position -> recordAccepted(spec, position)));
  }

  /**
   * Cancels a job and completes once the record has been read back from the log. Running tasks are
   * stopped after that.
   *
   * <p>Fails with {@code NOT_FOUND} for an unknown job. Cancelling a job that has ended or is
   * already cancelled has no effect.
   */
  public CompletableFuture<Result<JobView>> cancel(String name, String reason) {
    Optional<JobState> job = table.job(name);
    if (job.isEmpty()) {
      return CompletableFuture.completedFuture(unknownJob(name));
    }
    if (job.get().ended() || !job.get().cancelReason().isEmpty()) {
      return CompletableFuture.completedFuture(job(name));
    }
    return log.append(new TaskRecord.JobCancelled(name, reason))
        .thenApply(
            appended ->
                appended.then(
                    position -> {
                      recorder.record(
                          Event.of(EventKind.JOB_CANCELLED).withTask(name).withDetail(reason));
                      return job(name);
                    }));
  }

  /** Returns the job, or a failure of kind {@code NOT_FOUND}. */
  public Result<JobView> job(String name) {
    Optional<JobState> job = table.job(name);
    return job.isPresent() ? Result.ok(view(job.get())) : unknownJob(name);
  }

  /** Returns the jobs that have not ended, oldest first, followed by those that ended recently. */
  public Result<List<JobView>> jobs() {
    List<JobState> all = new ArrayList<>(table.jobs());
    all.addAll(table.endedJobs());
    return Result.ok(all.stream().map(this::view).toList());
  }

  /** Returns the task with the reason for its state, or a failure of kind {@code NOT_FOUND}. */
  public Result<TaskView> task(String name) {
    return table
        .task(name)
        .map(task -> Result.ok(TaskView.of(task, scheduler.waitingReason(task.job()))))
        .orElseGet(() -> Result.failed(ErrorKind.NOT_FOUND, "no task is called " + name));
  }

  private JobView view(JobState job) {
    return JobView.of(job, scheduler.waitingReason(job.spec().name()));
  }

  private Result<JobSpec> checkFeasible(JobSpec spec) {
    Optional<String> infeasible = Fleet.infeasibilityReason(table.vms(), spec.sizes());
    if (infeasible.isPresent()) {
      return Result.failed(ErrorKind.NEVER_FITS, "job " + spec.name() + ": " + infeasible.get());
    }
    if (!spec.sizes().fitsIn(policy.get().quota(spec.team()).limit())) {
      return Result.failed(
          ErrorKind.NEVER_FITS,
          "job %s: a task exceeds the quota of team %s".formatted(spec.name(), spec.team()));
    }
    return Result.ok(spec);
  }

  private Result<JobView> recordAccepted(JobSpec spec, long position) {
    boolean isNew = table.job(spec.name()).filter(job -> job.accepted() == position).isPresent();
    if (isNew) {
      recorder.record(
          Event.of(EventKind.JOB_ACCEPTED)
              .withTask(spec.name())
              .withTeam(spec.team())
              .withDetail(spec.count() + " tasks"));
    }
    return acceptedView(spec);
  }

  /** Returns the job if it equals the submitted one; else fails with {@code CONFLICT}. */
  private Result<JobView> acceptedView(JobSpec spec) {
    Optional<JobState> job = table.job(spec.name());
    if (job.isEmpty()) {
      return unknownJob(spec.name());
    }
    if (!job.get().spec().equals(spec)) {
      return Result.failed(
          ErrorKind.CONFLICT,
          "a different job already has the name " + spec.name() + "; choose a new name");
    }
    return Result.ok(view(job.get()));
  }

  private static <T> Result<T> unknownJob(String name) {
    return Result.failed(ErrorKind.NOT_FOUND, "no job is called " + name);
  }
}
