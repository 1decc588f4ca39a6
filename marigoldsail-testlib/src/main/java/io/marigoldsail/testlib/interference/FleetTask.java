package io.marigoldsail.testlib.interference;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowTask;

/** A running task on a modelled VM. Not thread-safe. */
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

  /** Returns the time since its start, in milliseconds. */
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

  /** Advances the task at a rate; 1 is full speed on a healthy VM. */
  void work(double millis, double rate) {
    doneMillis += millis * rate;
  }

  boolean isDone() {
    return !traits().longRunning() && doneMillis >= lengthMillis;
  }

  int progressPercent() {
    return (int) Math.min(99, 100 * doneMillis / lengthMillis);
  }

  /** Records the current usage, in thousandths of a processor, in an exponential moving average. */
  void recordUsage(double milliProcessors, double weight) {
    usedMilli += (milliProcessors - usedMilli) * weight;
  }

  double usedMilli() {
    return usedMilli;
  }

  /** Records the current tail latency and updates its exponential moving average. */
  void recordTail(double tail, double weight) {
    currentTailMillis = tail;
    measuredTailMillis += (tail - measuredTailMillis) * weight;
  }

  /** Returns whether the current tail latency is over the target. */
  boolean isOverTarget() {
    return currentTailMillis > FleetVm.TARGET_MILLIS;
  }

  /** Returns the averaged tail latency as measured, in milliseconds. */
  double measuredTailMillis() {
    return measuredTailMillis;
  }
}
