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
 * What operators may ask an entry about jobs and tasks; registered on the operators' server.
 *
 * <p>{@code POST /jobs} is {@link #submit}, {@code DELETE /jobs/{name}} is {@link #cancel}, {@code
 * GET /jobs} is {@link #jobs}, {@code GET /jobs/{name}} is {@link #job}, {@code GET
 * /tasks/{job}/{index}} is {@link #task}. Safe for any thread; nothing blocks.
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
   * @param table what the log says
   * @param log the way to append
   * @param entryTasks the tasks' part of this entry
   * @param terms what the configuration in force says
   * @param wallClock this VM's clock
   * @param recorder the time line
   */
  public TaskRoutes(
      TaskTable table,
      TaskLog log,
      EntryTaskScheduler entryTasks,
      Supplier<TaskPolicy> terms,
      WallClock wallClock,
      EventRecorder recorder) {
    this.table = requireNonNull(table, "table");
    this.log = requireNonNull(log, "log");
    this.scheduler = requireNonNull(entryTasks, "entryTasks");
    this.policy = requireNonNull(terms, "terms");
    this.wallClock = requireNonNull(wallClock, "wallClock");
    this.recorder = requireNonNull(recorder, "recorder");
  }

  /**
   * Accepts a job; completes once it has been read back from the log.
   *
   * <p>Submitting the same job again succeeds and changes nothing. Fails with {@code
   * INVALID_CONTENT} for a broken file, {@code CONFLICT} where another job has the name, {@code
   * NEVER_FITS} where no VM or quota could ever hold one of its tasks, {@code LOG_UNAVAILABLE} or
   * {@code LOG_OUTCOME_UNKNOWN}; after each of these the same file may be submitted again.
   *
   * @param fileName how the file is called in failures
   * @param file the job file
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
   * Cancels a job; completes once that has been read back from the log. Tasks that run are stopped
   * after that. Fails with {@code NOT_FOUND} for an unknown job; cancelling one that has ended
   * changes nothing.
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

  /** Returns the jobs that have not ended, oldest first, then those that ended not long ago. */
  public Result<List<JobView>> jobs() {
    List<JobState> all = new ArrayList<>(table.jobs());
    all.addAll(table.endedJobs());
    return Result.ok(all.stream().map(this::view).toList());
  }

  /** Returns the task with why it is where it is, or a failure of kind {@code NOT_FOUND}. */
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
    Optional<String> never = Fleet.infeasibilityReason(table.vms(), spec.sizes());
    if (never.isPresent()) {
      return Result.failed(ErrorKind.NEVER_FITS, "job " + spec.name() + ": " + never.get());
    }
    if (!spec.sizes().fitsIn(policy.get().quota(spec.team()).limit())) {
      return Result.failed(
          ErrorKind.NEVER_FITS,
          "job %s: a task needs more than the whole quota of team %s"
              .formatted(spec.name(), spec.team()));
    }
    return Result.ok(spec);
  }

  private Result<JobView> recordAccepted(JobSpec spec, long position) {
    boolean first = table.job(spec.name()).filter(job -> job.accepted() == position).isPresent();
    if (first) {
      recorder.record(
          Event.of(EventKind.JOB_ACCEPTED)
              .withTask(spec.name())
              .withTeam(spec.team())
              .withDetail(spec.count() + " tasks"));
    }
    return acceptedView(spec);
  }

  /** Returns the job if it is the one asked for; another of the same name is a conflict. */
  private Result<JobView> acceptedView(JobSpec spec) {
    Optional<JobState> job = table.job(spec.name());
    if (job.isEmpty()) {
      return unknownJob(spec.name());
    }
    if (!job.get().spec().equals(spec)) {
      return Result.failed(
          ErrorKind.CONFLICT, "another job is called " + spec.name() + "; choose a new name");
    }
    return Result.ok(view(job.get()));
  }

  private static <T> Result<T> unknownJob(String name) {
    return Result.failed(ErrorKind.NOT_FOUND, "no job is called " + name);
  }
}
