package io.marigoldsail.daemon.task;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.testlib.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The stream of tasks in memory, down or losing answers as it is told. */
final class FakeTaskLog {
  private static final long APPEND_TIMEOUT_NANOS = 10_000_000_000L;

  private record WrittenRecord(TaskRecord record, long nanos) {}

  private record PendingAppend(
      TaskTestCluster.Entry entry,
      TaskRecord record,
      long deadline,
      CompletableFuture<Result<Long>> future) {}

  private final VirtualClock clock;
  private final List<WrittenRecord> records = new ArrayList<>();
  private final List<PendingAppend> waiting = new ArrayList<>();
  private final TaskTable referenceTable = new TaskTable();
  private boolean down;
  private int duplicates;
  private int lostResponses;

  FakeTaskLog(VirtualClock clock) {
    this.clock = clock;
  }

  /** Returns what an entry without any lag would see. */
  TaskTable referenceTable() {
    return referenceTable;
  }

  boolean down() {
    return down;
  }

  void down(boolean nowDown) {
    down = nowDown;
  }

  /** Writes each of the next records twice. */
  void duplicateNext(int count) {
    duplicates = count;
  }

  /** Lets the next appends take effect but fail. */
  void loseNextResponses(int count) {
    lostResponses = count;
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
    records.add(new WrittenRecord(record, clock.nanos()));
    referenceTable.apply(position, record);
    return position;
  }

  CompletableFuture<Result<Long>> append(TaskTestCluster.Entry entry, TaskRecord record) {
    CompletableFuture<Result<Long>> future = new CompletableFuture<>();
    waiting.add(new PendingAppend(entry, record, clock.nanos() + APPEND_TIMEOUT_NANOS, future));
    return future;
  }

  /** Takes in what was sent since, or gives up what has waited too long in an outage. */
  void processAppends() {
    List<PendingAppend> now = List.copyOf(waiting);
    waiting.clear();
    for (PendingAppend append : now) {
      if (!down) {
        accept(append);
      } else if (clock.nanos() > append.deadline()) {
        append.future().complete(Result.failed(ErrorKind.LOG_UNAVAILABLE, "log is down"));
      } else {
        waiting.add(append);
      }
    }
  }

  private void accept(PendingAppend append) {
    long position = write(append.record());
    if (duplicates > 0) {
      duplicates--;
      write(append.record());
    }
    if (lostResponses > 0) {
      lostResponses--;
      append.future().complete(Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, "answer lost"));
      return;
    }
    append.entry().runAfterApplied(position, () -> append.future().complete(Result.ok(position)));
  }
}
