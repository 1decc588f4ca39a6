package io.marigoldsail.workflow;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.marigoldsail.job.Sizes;
import java.util.Optional;

/** Fixtures for the tests of this package. */
final class WorkflowFixtures {
  static final WorkflowId ID = WorkflowId.of("5c0e7a21d94b36f8");

  /** Returns the id whose decimal digits form the number. */
  static WorkflowId id(long number) {
    return WorkflowId.of(String.format("%016d", number));
  }

  static final Place PLACE = new Place("vm-1", "life-1");
  private static final long MEBIBYTE = 1 << 20;

  /** Chooser of a deployment where a task takes half as long again on another rack. */
  static final VmChooser CHOOSER = VmChooser.of(1.5);

  private WorkflowFixtures() {}

  static TaskPlacementRequest request(StepSpec step, double interference, Urgency urgency) {
    return new TaskPlacementRequest(spec(step).policy().service(), step, interference, urgency, "");
  }

  static StepSpec.TaskTraits longRunning(long targetMillis) {
    return new StepSpec.TaskTraits(false, false, false, true, false, "svc", targetMillis, 1);
  }

  static StepSpec.TaskTraits bestEffort() {
    return new StepSpec.TaskTraits(false, true, false, false, true, "batch", 0, 0);
  }

  static StepSpec gang(int tasks, long milliProcessors, boolean sameRack) {
    StepSpec plain = step(tasks, milliProcessors, StepSpec.TaskTraits.PLAIN);
    return new StepSpec(
        tasks,
        plain.sizes(),
        plain.estimateMillis(),
        plain.dependsOn(),
        new StepSpec.Placement("", "", sameRack, 0),
        new StepSpec.TaskTraits(true, true, false, false, false, "", 0, 0));
  }

  static StepSpec step(
      int tasks, long milliProcessors, StepSpec.TaskTraits traits, Integer... dependsOn) {
    return new StepSpec(
        tasks,
        new Sizes(milliProcessors, 100 * MEBIBYTE, 0),
        1_000,
        ImmutableList.copyOf(dependsOn),
        StepSpec.Placement.ANYWHERE,
        traits);
  }

  static WorkflowSpec spec(StepSpec... steps) {
    return spec(ID, 0, 1_000, WorkflowSpec.Schedule.IMMEDIATE, steps);
  }

  static WorkflowSpec spec(
      WorkflowId id,
      int priority,
      long acceptedMillis,
      WorkflowSpec.Schedule schedule,
      StepSpec... steps) {
    return new WorkflowSpec(
        id,
        "queue",
        new WorkflowSpec.QueuePolicy("service", priority, 2, Optional.empty(), 2, 1_000),
        "program",
        ImmutableList.copyOf(steps),
        schedule,
        acceptedMillis);
  }

  static VmOffer offer(String vm, long freeMilli, long bestEffortMilli, int serviceTasks) {
    Sizes capacity = new Sizes(16_000, 64_000 * MEBIBYTE, 0);
    return new VmOffer(
        new Place(vm, "life-of-" + vm),
        "service",
        ImmutableSet.of("a", "rack-" + vm),
        "rack-" + vm,
        capacity,
        new Sizes(freeMilli, 32_000 * MEBIBYTE, 0),
        bestEffortMilli,
        0,
        Overcommit.BASE_MILLI_PROCESSORS,
        serviceTasks,
        1.0,
        Optional.empty());
  }
}
