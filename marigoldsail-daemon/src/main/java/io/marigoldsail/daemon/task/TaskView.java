package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.TaskState;
import java.util.List;
import java.util.Locale;

/**
 * A task as operators see it, with why it is where it is; also its JSON form.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the task's name
 * @param state {@code waiting}, {@code claimed}, {@code done}, {@code cancelled} or {@code failed}
 * @param attempt the present attempt, or the next one while it waits
 * @param token the fencing token of the present attempt, or 0
 * @param vm the VM it is claimed for, or was last; empty if none
 * @param checkpoint the last checkpoint, or empty
 * @param evictions how often it was evicted
 * @param failedVms on which VMs an attempt failed by itself
 * @param why the reason in words
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

  static TaskView of(TaskState task, String whyWaiting) {
    return new TaskView(
        task.name(),
        task.phase().name().toLowerCase(Locale.ROOT),
        task.attempt(),
        task.token(),
        task.vm(),
        task.checkpoint(),
        task.evictions(),
        task.failedVms(),
        why(task, whyWaiting));
  }

  private static String why(TaskState task, String whyWaiting) {
    String history = task.detail().isEmpty() ? "" : "; before: " + task.detail();
    return switch (task.phase()) {
      case WAITING -> {
        String waits = whyWaiting.isEmpty() ? "waits for its turn" : "waits: " + whyWaiting;
        yield waits + history;
      }
      case CLAIMED ->
          "claimed for " + task.vm() + " by the log record at " + task.token() + history;
      case DONE -> "ended with success on " + task.vm();
      case CANCELLED -> "cancelled: " + task.detail();
      case FAILED -> "failed: " + task.detail();
    };
  }
}
