package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.job.TaskState.Phase;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** One job inside a {@link TaskTable}: its tasks by index, and how many stand where. */
final class MutableJob {
  private final JobSpec spec;
  private final long accepted;
  private final long acceptedMillis;
  private final TaskState[] tasks;
  private final BitSet waiting = new BitSet();
  private final Map<Phase, Integer> counts = new EnumMap<>(Phase.class);
  private String cancelReason;

  MutableJob(JobSpec spec, long accepted, long acceptedMillis, String cancelReason) {
    this.spec = spec;
    this.accepted = accepted;
    this.acceptedMillis = acceptedMillis;
    this.cancelReason = cancelReason;
    this.tasks = new TaskState[spec.count()];
    for (int index = 0; index < tasks.length; index++) {
      tasks[index] = TaskState.accepted(spec.taskName(index));
    }
    waiting.set(0, tasks.length);
    counts.put(Phase.WAITING, tasks.length);
  }

  JobSpec spec() {
    return spec;
  }

  long accepted() {
    return accepted;
  }

  String cancelReason() {
    return cancelReason;
  }

  boolean cancelled() {
    return !cancelReason.isEmpty();
  }

  void cancel(String reason) {
    cancelReason = reason.isEmpty() ? "cancelled" : reason;
  }

  boolean hasWaitingTasks() {
    return !waiting.isEmpty();
  }

  boolean ended() {
    return count(Phase.WAITING) == 0 && count(Phase.CLAIMED) == 0;
  }

  /** Returns the task of the given full name, or null for a foreign one. */
  TaskState find(String task) {
    int index = indexOf(task);
    return index < 0 ? null : tasks[index];
  }

  void put(TaskState task) {
    int index = indexOf(task.name());
    checkArgument(index >= 0, "%s is no task of %s", task.name(), spec.name());
    counts.merge(tasks[index].phase(), -1, Integer::sum);
    counts.merge(task.phase(), 1, Integer::sum);
    waiting.set(index, task.phase() == Phase.WAITING);
    tasks[index] = task;
  }

  int nextWaiting(int fromIndex) {
    return waiting.nextSetBit(fromIndex);
  }

  TaskState task(int index) {
    return tasks[index];
  }

  List<TaskState> tasks() {
    return List.of(tasks);
  }

  JobState state() {
    return new JobState(
        spec,
        accepted,
        acceptedMillis,
        cancelReason,
        count(Phase.WAITING),
        count(Phase.CLAIMED),
        count(Phase.DONE),
        count(Phase.CANCELLED),
        count(Phase.FAILED));
  }

  private int count(Phase phase) {
    return counts.getOrDefault(phase, 0);
  }

  private int indexOf(String task) {
    String prefix = spec.name() + "/";
    if (!task.startsWith(prefix) || task.length() > prefix.length() + 5) {
      return -1;
    }
    int index = 0;
    for (int at = prefix.length(); at < task.length(); at++) {
      int digit = task.charAt(at) - '0';
      if (digit < 0 || digit > 9) {
        return -1;
      }
      index = index * 10 + digit;
    }
    boolean known = task.length() > prefix.length() && index < tasks.length;
    return known && spec.taskName(index).equals(task) ? index : -1;
  }
}
