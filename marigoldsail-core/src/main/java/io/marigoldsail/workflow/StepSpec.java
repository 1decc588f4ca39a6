package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;

/**
 * One step of a workflow: equal tasks that may run side by side once the steps before are done.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param tasks how many tasks
 * @param sizes what each needs
 * @param estimateMillis roughly how long one takes, as declared; often far off
 * @param dependsOn positions of earlier steps whose tasks must all be done first
 * @param placement where the tasks may run
 * @param traits how the tasks behave
 */
public record StepSpec(
    int tasks,
    Sizes sizes,
    long estimateMillis,
    ImmutableList<Integer> dependsOn,
    Placement placement,
    TaskTraits traits) {

  /**
   * Where the tasks of a step may run.
   *
   * @param requiredLabel a label that the VM must have; empty for any VM
   * @param preferredRack the rack near the step's data; empty for none
   * @param sameRack whether the tasks are slower when spread over racks
   * @param maxPerVm how many tasks of one occurrence may share a VM; 0 for any number
   */
  public record Placement(
      String requiredLabel, String preferredRack, boolean sameRack, int maxPerVm) {
    /** No constraint. */
    public static final Placement ANYWHERE = new Placement("", "", false, 0);

    /** Checks the components. */
    public Placement {
      requireNonNull(requiredLabel, "requiredLabel");
      requireNonNull(preferredRack, "preferredRack");
      checkArgument(maxPerVm >= 0, "maxPerVm is negative: %s", maxPerVm);
    }
  }

  /**
   * How the tasks of a step behave.
   *
   * @param gang whether they work only while all of one attempt are there
   * @param checkpointable whether they save their progress
   * @param speculative whether copies of one task may run at the same time
   * @param longRunning whether they run until the workflow is cancelled
   * @param bestEffort whether they take only the processors that other tasks leave
   * @param image what they run; empty if not told
   * @param latencyTargetMillis the tail latency that their own users are promised; 0 for none
   * @param maxUnavailable how many may be away at the same time by decisions of this system
   */
  public record TaskTraits(
      boolean gang,
      boolean checkpointable,
      boolean speculative,
      boolean longRunning,
      boolean bestEffort,
      String image,
      long latencyTargetMillis,
      int maxUnavailable) {
    /** Plain tasks that end. */
    public static final TaskTraits PLAIN =
        new TaskTraits(false, false, false, false, false, "", 0, 0);

    /** Checks the components. */
    public TaskTraits {
      requireNonNull(image, "image");
      checkArgument(latencyTargetMillis >= 0, "target is negative: %s", latencyTargetMillis);
      checkArgument(maxUnavailable >= 0, "allowance is negative: %s", maxUnavailable);
    }

    /** Returns whether the tasks answer users of their own. */
    public boolean isService() {
      return latencyTargetMillis > 0;
    }
  }

  /** Checks the components. */
  public StepSpec {
    checkArgument(tasks >= 1, "tasks is not positive: %s", tasks);
    requireNonNull(sizes, "sizes");
    checkArgument(estimateMillis >= 0, "estimateMillis is negative: %s", estimateMillis);
    requireNonNull(dependsOn, "dependsOn");
    requireNonNull(placement, "placement");
    requireNonNull(traits, "nature");
  }

  /** Returns what a VM books for a task: processors are not booked for one that fills. */
  public Sizes booked() {
    return traits.bestEffort() ? sizes.withoutProcessors() : sizes;
  }
}
