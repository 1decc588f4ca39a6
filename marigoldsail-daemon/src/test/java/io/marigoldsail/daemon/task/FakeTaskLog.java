package io.marigoldsail.daemon.task;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.testlib.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** In-memory stream of tasks with simulated outages, lost responses and duplicate records. */
final class FakeTaskLog {
  private static final long KEEP_NANOS = 10_000_000_000L;

  private record Written(TaskRecord record, long nanos) {}

  private record Waiting(
      TaskWorld.Entry entry,
      TaskRecord record,
      long deadline,
      CompletableFuture<Result<Long>> future) {}

  private final VirtualClock clock;
  private final List<Written> records = new ArrayList<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private final TaskTable truth = new TaskTable();
  private boolean down;
  private int doubled;
  private int lostAnswers;

  FakeTaskLog(VirtualClock clock) {
    this.clock = clock;
  }

  /** Returns the table of an entry without lag. */
  TaskTable truth() {
    return truth;
  }

  boolean down() {
    return down;
  }

  void down(boolean nowDown) {
    down = nowDown;
  }

  /** Writes each of the next records twice. */
  void doubleNext(int count) {
    doubled = count;
  }

  /** Lets the next appends take effect but fail with an unknown outcome. */
  void loseNextAnswers(int count) {
    lostAnswers = count;
  }

  int size() {
    return records.size();
  }

  TaskRecord record(int index) {
    return records.get(index).record();
  }

  long writtenNanos(int index) {
    return records.get(index).nanos();
  }

  long write(TaskRecord record) {
    long position = records.size();
    records.add(new Written(record, clock.nanos()));
    truth.apply(position, record);
    return position;
  }

  CompletableFuture<Result<Long>> append(TaskWorld.Entry entry, TaskRecord record) {
    CompletableFuture<Result<Long>> future = new CompletableFuture<>();
    waiting.add(new Waiting(entry, record, clock.nanos() + KEEP_NANOS, future));
    return future;
  }

  /** Writes the pending appends, or fails those that have timed out in an outage. */
  void settle() {
    List<Waiting> pending = List.copyOf(waiting);
    waiting.clear();
    for (Waiting append : pending) {
      if (!down) {
        accept(append);
      } else if (clock.nanos() > append.deadline()) {
        append.future().complete(Result.failed(ErrorKind.LOG_UNAVAILABLE, "log is unavailable"));
      } else {
        waiting.add(append);
      }
    }
  }

  private void accept(Waiting append) {
    long position = write(append.record());
    if (doubled > 0) {
      doubled--;
      write(append.record());
    }
    if (lostAnswers > 0) {
      lostAnswers--;
      append.future().complete(Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, "response lost"));
      return;
    }
    append.entry().await(position, () -> append.future().complete(Result.ok(position)));
  }
}
