package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.Result;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.membership.EntryIdentity;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventRecorder;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** What the parts of {@link EntryTaskScheduler} share; everything runs under one lock. */
final class EntryContext {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EntryIdentity identity;
  private final TaskTable table;
  private final TaskLog log;
  private final TaskChannel channel;
  private final Supplier<TaskPolicy> policy;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private final EventRecorder recorder;
  private final Executor lock;

  EntryContext(
      EntryIdentity identity,
      TaskTable table,
      TaskLog log,
      TaskChannel channel,
      Supplier<TaskPolicy> terms,
      MonotonicClock clock,
      WallClock wallClock,
      EventRecorder recorder,
      Executor lock) {
    this.identity = requireNonNull(identity, "identity");
    this.table = requireNonNull(table, "table");
    this.log = requireNonNull(log, "log");
    this.channel = requireNonNull(channel, "channel");
    this.policy = requireNonNull(terms, "terms");
    this.clock = requireNonNull(clock, "clock");
    this.wallClock = requireNonNull(wallClock, "wallClock");
    this.recorder = requireNonNull(recorder, "recorder");
    this.lock = requireNonNull(lock, "lock");
  }

  EntryIdentity identity() {
    return identity;
  }

  TaskTable table() {
    return table;
  }

  TaskChannel channel() {
    return channel;
  }

  TaskPolicy policy() {
    return policy.get();
  }

  long nanos() {
    return clock.nanos();
  }

  long deadlineAfterMillis(long millis) {
    return clock.nanos() + millis * NANOS_PER_MILLI;
  }

  boolean hasPassed(long deadlineNanos) {
    return clock.nanos() - deadlineNanos >= 0;
  }

  long wallMillis() {
    return wallClock.millis();
  }

  void record(Event event) {
    recorder.record(event);
  }

  /** Appends a record and takes its outcome in under the lock. */
  void append(TaskRecord record, Consumer<Result<Long>> outcome) {
    var unused = log.append(record).thenAcceptAsync(outcome, lock);
  }
}
