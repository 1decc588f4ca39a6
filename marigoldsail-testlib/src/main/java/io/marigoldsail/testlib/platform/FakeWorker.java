package io.marigoldsail.testlib.platform;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.UsageSample;
import io.marigoldsail.lease.Worker;
import io.marigoldsail.lease.WorkerBoot;
import io.marigoldsail.lease.WorkerListing;
import io.marigoldsail.lease.WorkerStart;
import io.marigoldsail.lease.WorkerTask;
import io.marigoldsail.lease.WorkerTask.State;
import io.marigoldsail.time.WallClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * An in-memory worker that enforces leases by its own clock, with injectable faults.
 *
 * <p>State changes only during calls: each call first advances all attempts to the current time of
 * the clock, and ends get the time at which they were due. Thread-safe. Rejects nulls.
 */
public final class FakeWorker implements Worker {
  private static final long SAMPLE_INTERVAL_MILLIS = 1_000;
  private static final long SAMPLE_RETENTION_MILLIS = 10_000;

  private record DelayedSample(UsageSample sample, long reportedFromMillis) {}

  private final String name;
  private final Sizes capacity;
  private final WallClock clock;
  private final Map<String, Long> highestTokens = new HashMap<>();
  private final Map<String, FakeAttempt> attempts = new LinkedHashMap<>();
  private final List<WorkerRun> runsOfEarlierIncarnations = new ArrayList<>();
  private final List<DelayedSample> samples = new ArrayList<>();
  private WorkerFaults faults = WorkerFaults.none();
  private long incarnation = 1;
  private long rejectedOverCapacity;

  /**
   * Creates a worker without tasks.
   *
   * @param name its name in its record
   * @param capacity the total capacity for tasks
   * @param clock its monotonic clock, in milliseconds
   */
  public FakeWorker(String name, Sizes capacity, WallClock clock) {
    this.name = requireNonNull(name, "name");
    this.capacity = requireNonNull(capacity, "capacity");
    this.clock = requireNonNull(clock, "clock");
  }

  /** Returns the current faults. */
  public synchronized WorkerFaults faults() {
    return faults;
  }

  /** Replaces the faults. */
  public synchronized void setFaults(WorkerFaults newFaults) {
    advance();
    faults = requireNonNull(newFaults, "newFaults");
  }

  /** Reboots: all running attempts end, and the new incarnation has no record of them. */
  public synchronized void reboot() {
    long now = advance();
    for (FakeAttempt attempt : attempts.values()) {
      if (attempt.describe().running()) {
        attempt.end(State.FAILED, "worker rebooted", now);
      }
      runsOfEarlierIncarnations.add(attempt.run(name, incarnation));
    }
    attempts.clear();
    samples.clear();
    incarnation++;
  }

  /** Returns all attempts of all incarnations; those of one incarnation in start order. */
  public synchronized List<WorkerRun> runs() {
    advance();
    List<WorkerRun> runs = new ArrayList<>(runsOfEarlierIncarnations);
    attempts.values().forEach(attempt -> runs.add(attempt.run(name, incarnation)));
    return runs;
  }

  /** Returns the number of starts rejected because they exceeded the free capacity. */
  public synchronized long rejectedOverCapacity() {
    return rejectedOverCapacity;
  }

  @Override
  public synchronized Result<WorkerBoot> boot() {
    return respond(() -> Result.ok(describeBoot()));
  }

  @Override
  public synchronized Result<WorkerTask> start(WorkerStart start) {
    requireNonNull(start, "start");
    return respond(() -> tryStart(start));
  }

  private Result<WorkerTask> tryStart(WorkerStart start) {
    FakeAttempt known = attempts.get(key(start.task(), start.token()));
    if (known != null) {
      return Result.ok(known.describe());
    }
    long now = clock.millis();
    if (highestTokens.getOrDefault(start.task(), -1L) >= start.token()) {
      return Result.failed(
          ErrorKind.CONFLICT,
          "token " + start.token() + " is not above the highest token of the task");
    }
    if (start.leaseDeadlineMillis() <= now) {
      return Result.failed(ErrorKind.CONFLICT, "the lease deadline has passed");
    }
    if (!used().plus(start.sizes()).fitsIn(capacity)) {
      rejectedOverCapacity++;
      return Result.failed(ErrorKind.CONFLICT, "insufficient capacity for " + start.sizes());
    }
    highestTokens.put(start.task(), start.token());
    for (FakeAttempt older : attempts.values()) {
      if (older.describe().running() && older.describe().task().equals(start.task())) {
        older.end(State.STOPPED, "superseded by token " + start.token(), now);
      }
    }
    FakeAttempt attempt = new FakeAttempt(start, now);
    if (faults.failEverything()) {
      attempt.end(State.FAILED, "this worker fails everything", now);
    }
    attempts.put(key(start.task(), start.token()), attempt);
    return Result.ok(attempt.describe());
  }

  @Override
  public synchronized Result<WorkerTask> renew(String task, long token, long leaseDeadlineMillis) {
    return respond(
        () -> {
          FakeAttempt attempt = attempts.get(key(task, token));
          if (attempt == null || !attempt.describe().running()) {
            return Result.failed(
                ErrorKind.NOT_FOUND, "no such running attempt: " + key(task, token));
          }
          if (leaseDeadlineMillis <= clock.millis()) {
            return Result.failed(ErrorKind.CONFLICT, "the lease deadline has passed");
          }
          attempt.renew(leaseDeadlineMillis);
          return Result.ok(attempt.describe());
        });
  }

  @Override
  public synchronized Result<WorkerTask> throttle(String task, long token, int percent) {
    if (percent < 1 || percent > 100) {
      return Result.failed(ErrorKind.BAD_REQUEST, "percent is not in 1..100: " + percent);
    }
    return updateRunning(task, token, attempt -> attempt.throttle(percent));
  }

  @Override
  public synchronized Result<WorkerTask> checkpoint(String task, long token) {
    return updateRunning(task, token, FakeAttempt::checkpointNow);
  }

  private Result<WorkerTask> updateRunning(String task, long token, Consumer<FakeAttempt> change) {
    return respond(
        () -> {
          FakeAttempt attempt = attempts.get(key(task, token));
          if (attempt == null || !attempt.describe().running()) {
            return Result.failed(
                ErrorKind.NOT_FOUND, "no such running attempt: " + key(task, token));
          }
          change.accept(attempt);
          return Result.ok(attempt.describe());
        });
  }

  @Override
  public synchronized Result<WorkerTask> stop(String task, long token) {
    requireNonNull(task, "task");
    return respond(
        () -> {
          highestTokens.merge(task, token, Math::max);
          FakeAttempt attempt = attempts.get(key(task, token));
          if (attempt == null) {
            return Result.ok(
                new WorkerTask(task, 1, token, State.STOPPED, Sizes.NONE, "", "never started"));
          }
          if (attempt.describe().running()) {
            attempt.end(State.STOPPED, "stopped on request", clock.millis());
          }
          return Result.ok(attempt.describe());
        });
  }

  @Override
  public synchronized Result<WorkerListing> list() {
    return respond(
        () ->
            Result.ok(
                new WorkerListing(
                    describeBoot(),
                    attempts.values().stream().map(FakeAttempt::describe).toList())));
  }

  @Override
  public synchronized Result<List<UsageSample>> usage() {
    return respond(
        () -> {
          long now = clock.millis();
          samples.removeIf(sample -> sample.reportedFromMillis() + SAMPLE_RETENTION_MILLIS < now);
          return Result.ok(
              samples.stream()
                  .filter(sample -> sample.reportedFromMillis() <= now)
                  .map(DelayedSample::sample)
                  .toList());
        });
  }

  private <T> Result<T> respond(Supplier<Result<T>> call) {
    if (faults.down()) {
      return Result.failed(ErrorKind.TARGET_UNREACHABLE, "worker is down");
    }
    advance();
    Result<T> result = call.get();
    if (faults.loseAnswers() != 0) {
      int remaining = faults.loseAnswers() < 0 ? -1 : faults.loseAnswers() - 1;
      faults = faults.withLoseAnswers(remaining);
      return Result.failed(ErrorKind.OUTCOME_UNKNOWN, "response of worker lost");
    }
    return result;
  }

  private long advance() {
    long now = clock.millis();
    double totalSlowdown = faults.slowdown();
    for (FakeAttempt attempt : attempts.values()) {
      totalSlowdown *= attempt.describe().running() ? attempt.slowdownOfOthers() : 1;
    }
    for (FakeAttempt attempt : attempts.values()) {
      double slowdown = totalSlowdown / attempt.slowdownOfOthers();
      attempt.advance(now, slowdown);
      if (attempt.describe().running()
          && now - attempt.lastMeasuredMillis() >= SAMPLE_INTERVAL_MILLIS) {
        samples.add(
            new DelayedSample(attempt.measure(now, slowdown), now + faults.usageLagMillis()));
      }
    }
    return now;
  }

  private WorkerBoot describeBoot() {
    return new WorkerBoot(incarnation, capacity, clock.millis());
  }

  private Sizes used() {
    Sizes used = Sizes.NONE;
    for (FakeAttempt attempt : attempts.values()) {
      if (attempt.describe().running()) {
        used = used.plus(attempt.sizes());
      }
    }
    return used;
  }

  private static String key(String task, long token) {
    return task + "@" + token;
  }
}
