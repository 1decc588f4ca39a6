package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.TaskState;
import java.util.List;
import java.util.Locale;

/**
 * State of a task for operators, with its reason. Its JSON form is part of the operator API.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the task's name
 * @param state {@code waiting}, {@code claimed}, {@code done}, {@code cancelled} or {@code failed}
 * @param attempt the current attempt, or the next one while the task waits
 * @param token the fencing token of the current attempt, or 0
 * @param vm the VM of the current claim, or else of the last one; empty if there was none
 * @param checkpoint the last checkpoint, or empty
 * @param evictions the number of evictions of the task
 * @param failedVms VMs on which an attempt failed by itself
 * @param why the reason for the state, as text
 */
public record TaskView(
    String name,
    String state,
    int attempt,
    long token,
    String vm,
    String checkpoint,
    int evictions,
    List<String> failedVms,
    String why) {
  /** Checks and copies the components. */
  public TaskView {
    requireNonNull(name, "name");
    failedVms = List.copyOf(failedVms);
    requireNonNull(why, "why");
  }

  static TaskView of(TaskState task, String waitingReason) {
    return new TaskView(
        task.name(),
        task.phase().name().toLowerCase(Locale.ROOT),
        task.attempt(),
        task.token(),
        task.vm(),
        task.checkpoint(),
        task.evictions(),
        task.failedVms(),
        why(task, waitingReason));
  }

  private static String why(TaskState task, String waitingReason) {
    String history = task.detail().isEmpty() ? "" : "; last event: " + task.detail();
    return switch (task.phase()) {
      case WAITING -> {
        String reason =
            waitingReason.isEmpty() ? "waiting in the queue" : "waiting: " + waitingReason;
        yield reason + history;
      }
      case CLAIMED ->
          "claimed for " + task.vm() + " by the log record at " + task.token() + history;
      case DONE -> "ended with success on " + task.vm();
      case CANCELLED -> "cancelled: " + task.detail();
      case FAILED -> "failed: " + task.detail();
    };
  }
}
