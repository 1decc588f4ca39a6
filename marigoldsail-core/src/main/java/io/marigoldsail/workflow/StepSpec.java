package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.marigoldsail.job.Sizes;

/**
 * One step of a workflow: identical tasks that may run in parallel once the steps before are done.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param tasks the number of tasks
 * @param sizes the resources that each task needs
 * @param estimateMillis the declared run time of a task, in milliseconds; often far off
 * @param dependsOn positions of earlier steps whose tasks must all be done first, each once
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
   * @param maxPerVm maximum number of tasks of one occurrence on a VM; 0 for no limit
   */
  public record Placement(
      String requiredLabel, String preferredRack, boolean sameRack, int maxPerVm) {
    /** No constraint. */
    public static final Placement ANYWHERE = new Placement("", "", false, 0);

    /** Checks the components. */
    public Placement {
      requireNonNull(requiredLabel, "requiredLabel");
      requireNonNull(preferredRack, "preferredRack");
      WorkflowSpec.checkLength("requiredLabel", requiredLabel, WorkflowSpec.MAX_TEXT_LENGTH);
      WorkflowSpec.checkLength("preferredRack", preferredRack, WorkflowSpec.MAX_TEXT_LENGTH);
      checkArgument(maxPerVm >= 0, "maxPerVm is negative: %s", maxPerVm);
    }
  }

  /**
   * How the tasks of a step behave.
   *
   * @param gang whether they make progress only while all tasks of an attempt run
   * @param checkpointable whether they write checkpoints
   * @param speculative whether copies of one task may run at the same time
   * @param longRunning whether they run until the workflow is cancelled
   * @param bestEffort whether they are best-effort: they use only processors that other tasks leave
   *     idle
   * @param image the image that they run; empty if unknown
   * @param latencyTargetMillis the tail latency promised to their own users, in milliseconds; 0 for
   *     none
   * @param maxUnavailable how many may be unavailable at the same time by decisions of this system
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
    /** Tasks that end by themselves, without special behaviour. */
    public static final TaskTraits PLAIN =
        new TaskTraits(false, false, false, false, false, "", 0, 0);

    /** Checks the components. */
    public TaskTraits {
      requireNonNull(image, "image");
      WorkflowSpec.checkLength("image", image, WorkflowSpec.MAX_TEXT_LENGTH);
      checkArgument(
          latencyTargetMillis >= 0, "latencyTargetMillis is negative: %s", latencyTargetMillis);
      checkArgument(maxUnavailable >= 0, "maxUnavailable is negative: %s", maxUnavailable);
    }

    /**
     * Returns whether the tasks are service tasks: they have a latency target for users of their
     * own.
     */
    public boolean isService() {
      return latencyTargetMillis > 0;
    }
  }

  /** Checks the components, and leaves out repeated dependencies. */
  public StepSpec {
    checkArgument(tasks >= 1, "tasks is not positive: %s", tasks);
    requireNonNull(sizes, "sizes");
    checkArgument(estimateMillis >= 0, "estimateMillis is negative: %s", estimateMillis);
    dependsOn = ImmutableSet.copyOf(dependsOn).asList();
    requireNonNull(placement, "placement");
    requireNonNull(traits, "traits");
  }

  /** Returns the resources that a VM books for a task; a best-effort task books no processors. */
  public Sizes booked() {
    return traits.bestEffort() ? sizes.withoutProcessors() : sizes;
  }
}
