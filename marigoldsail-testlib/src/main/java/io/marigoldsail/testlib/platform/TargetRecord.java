package io.marigoldsail.testlib.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * A bounded record of the runs of a target. Thread-safe.
 *
 * <p>When full it counts further runs instead of recording them, so that a checker can detect that
 * the record is incomplete.
 */
final class TargetRecord {
  /** The record that test checkers read. */
  record Contents(List<TargetRun> runs, long notKept, int mostAtOnce) {}

  private final int capacity;
  private final List<TargetRun> runs = new ArrayList<>();
  private long notKept;
  private int running;
  private int mostAtOnce;

  TargetRecord(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Records the start of a run and returns its index for {@link #recordEnd}, or -1 if the record is
   * full.
   */
  synchronized int recordStart(TargetRun run) {
    running++;
    mostAtOnce = Math.max(mostAtOnce, running);
    if (runs.size() == capacity) {
      notKept++;
      return -1;
    }
    runs.add(run);
    return runs.size() - 1;
  }

  synchronized void recordEnd(int index, long atMillis) {
    running--;
    if (index < 0 || index >= runs.size()) {
      return;
    }
    TargetRun run = runs.get(index);
    runs.set(
        index,
        new TargetRun(
            run.target(),
            run.requestId(),
            run.idempotencyKey(),
            run.method(),
            run.path(),
            run.startMillis(),
            atMillis));
  }

  synchronized Contents contents() {
    return new Contents(List.copyOf(runs), notKept, mostAtOnce);
  }
}
