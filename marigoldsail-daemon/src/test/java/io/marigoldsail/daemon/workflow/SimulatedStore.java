package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.TaskRecordState;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The durable state of the tasks of each partition, fenced by epochs. One thread. */
final class SimulatedStore {
  private final RunOracle oracle;
  private final Map<Integer, Long> epochs = new HashMap<>();
  private final Map<Integer, Map<TaskKey, TaskRecordState>> records = new HashMap<>();

  SimulatedStore(RunOracle oracle) {
    this.oracle = oracle;
  }

  /** Adds a task that was never ordered. */
  void submit(int partition, TaskKey task, TaskRecordState state) {
    records.computeIfAbsent(partition, unused -> new LinkedHashMap<>()).putIfAbsent(task, state);
  }

  Map<TaskKey, TaskRecordState> read(int partition) {
    return new LinkedHashMap<>(records.getOrDefault(partition, Map.of()));
  }

  /** Replaces the records unless the epoch is fenced; returns whether it did. */
  boolean append(int partition, long epoch, Map<TaskKey, TaskRecordState> changed) {
    if (epoch < epochs.getOrDefault(partition, 0L)) {
      return false;
    }
    epochs.put(partition, epoch);
    Map<TaskKey, TaskRecordState> known =
        records.computeIfAbsent(partition, unused -> new LinkedHashMap<>());
    changed.forEach(
        (task, state) -> {
          TaskRecordState before = known.put(task, state);
          if (!state.equals(before)) {
            oracle.note(task, () -> "STORE epoch " + epoch + " " + state);
          }
        });
    return true;
  }

  boolean isDone() {
    return records.values().stream()
        .allMatch(each -> each.values().stream().allMatch(TaskRecordState::done));
  }

  /** Passes each task that is not done to the consumer. */
  void forEachUnfinished(Consumer<TaskKey> consumer) {
    records
        .values()
        .forEach(
            each ->
                each.forEach(
                    (task, state) -> {
                      if (!state.done()) {
                        consumer.accept(task);
                      }
                    }));
  }
}
