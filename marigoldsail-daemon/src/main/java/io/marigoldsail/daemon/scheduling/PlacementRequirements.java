package io.marigoldsail.daemon.scheduling;

import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.Urgency;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.Optional;

/**
 * What decides whether a task can be placed. A task that cannot be placed is placed nowhere in the
 * same pass, so other tasks with equal requirements are skipped.
 *
 * <p>Includes the service because workflows of several services may have equal steps: without it, a
 * full service would keep tasks of the others from being placed although there is capacity.
 * Immutable.
 *
 * @param service the service whose workers may run the task
 * @param step the step of the task
 * @param urgency how urgent it is
 * @param textId whether only side processes that read ids as texts admit the task
 * @param countedStep the step, present only if the number of its tasks per VM is limited
 */
public record PlacementRequirements(
    String service, StepSpec step, Urgency urgency, boolean textId, Optional<StepKey> countedStep) {
  /** Returns the requirements of the task. */
  public static PlacementRequirements of(WorkflowTask task, Urgency urgency) {
    TaskKey key = task.key();
    boolean counts = task.step().placement().maxPerVm() > 0;
    return new PlacementRequirements(
        task.workflow().service(),
        task.step(),
        urgency,
        !WorkflowIdCodec.hasNumber(key.workflow()),
        counts ? Optional.of(StepKey.of(key)) : Optional.empty());
  }
}
