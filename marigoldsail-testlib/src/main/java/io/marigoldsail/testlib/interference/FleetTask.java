package io.marigoldsail.testlib.interference;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowTask;

/** A task at work on a VM of the model. Confined to one thread. */
final class FleetTask {
  private final WorkflowTask task;
  private final RunKey key;
  private final double lengthMillis;
  private final long beganMillis;
  private double doneMillis;
  private int percent = 100;
  private double usedMilli;
  private double tailMillis;
  private double tailNowMillis;

  FleetTask(WorkflowTask task, double lengthMillis, long beganMillis) {
    this.task = requireNonNull(task, "task");
    this.key = task.openRun();
    this.lengthMillis = lengthMillis;
    this.beganMillis = beganMillis;
  }

  WorkflowTask task() {
    return task;
  }

  RunKey key() {
    return key;
  }

  StepSpec.TaskTraits nature() {
    return task.step().traits();
  }

  String image() {
    return nature().image();
  }

  double declaredMilli() {
    return task.step().sizes().milliProcessors();
  }

  /** Returns how long it has worked, in milliseconds. */
  long ranMillis(long millis) {
    return millis - beganMillis;
  }

  /** Sets the speed, in percent. */
  void pace(int newPercent) {
    percent = newPercent;
  }

  int percent() {
    return percent;
  }

  /** Works at a rate, where 1 is full speed on a sound VM. */
  void work(double millis, double rate) {
    doneMillis += millis * rate;
  }

  boolean isDone() {
    return !nature().longRunning() && doneMillis >= lengthMillis;
  }

  int progressPercent() {
    return (int) Math.min(99, 100 * doneMillis / lengthMillis);
  }

  /** Takes what it uses now, in thousandths of a processor; readings are means of half a second. */
  void uses(double milli, double weight) {
    usedMilli += (milli - usedMilli) * weight;
  }

  double usedMilli() {
    return usedMilli;
  }

  /** Takes the tail of its response times now. */
  void answers(double tail, double weight) {
    tailNowMillis = tail;
    tailMillis += (tail - tailMillis) * weight;
  }

  /** Returns whether users wait for longer than they are promised now. */
  boolean isOver() {
    return tailNowMillis > FleetVm.TARGET_MILLIS;
  }

  /** Returns the tail as it is measured, in milliseconds. */
  double tailMillis() {
    return tailMillis;
  }
}
