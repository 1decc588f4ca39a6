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
  private double measuredTailMillis;
  private double currentTailMillis;

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

  StepSpec.TaskTraits traits() {
    return task.step().traits();
  }

  String image() {
    return traits().image();
  }

  double declaredMilli() {
    return task.step().sizes().milliProcessors();
  }

  /** Returns how long it has worked, in milliseconds. */
  long ranMillis(long millis) {
    return millis - beganMillis;
  }

  /** Sets the speed, in percent. */
  void setSpeed(int newPercent) {
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
    return !traits().longRunning() && doneMillis >= lengthMillis;
  }

  int progressPercent() {
    return (int) Math.min(99, 100 * doneMillis / lengthMillis);
  }

  /** Takes what it uses now, in thousandths of a processor; readings are means of half a second. */
  void recordUsage(double milli, double weight) {
    usedMilli += (milli - usedMilli) * weight;
  }

  double usedMilli() {
    return usedMilli;
  }

  /** Takes the tail of its response times now. */
  void recordTail(double tail, double weight) {
    currentTailMillis = tail;
    measuredTailMillis += (tail - measuredTailMillis) * weight;
  }

  /** Returns whether users wait for longer than they are promised now. */
  boolean isOverTarget() {
    return currentTailMillis > FleetVm.TARGET_MILLIS;
  }

  /** Returns the tail as it is measured, in milliseconds. */
  double measuredTailMillis() {
    return measuredTailMillis;
  }
}
