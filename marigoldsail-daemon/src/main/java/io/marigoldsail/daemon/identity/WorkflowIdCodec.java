package io.marigoldsail.daemon.identity;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Strings;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkflowId;

/**
 * Encodes and decodes workflow ids: as their text, or for earlier versions as the number that the
 * digits form. Those versions write the digits of a number in lower case, so an id with other
 * digits has no number. Stateless.
 */
public final class WorkflowIdCodec {
  private static final int RADIX = 16;

  private WorkflowIdCodec() {}

  /** Returns whether earlier versions can represent the id. */
  public static boolean hasNumber(WorkflowId id) {
    return !id.hasUpperCaseDigits();
  }

  /**
   * Returns the number by which earlier versions identify the workflow.
   *
   * @throws IllegalArgumentException if they cannot represent the id
   */
  public static long number(WorkflowId id) {
    checkArgument(hasNumber(id), "earlier versions do not distinguish the case of digits: %s", id);
    return Long.parseUnsignedLong(id.toString(), RADIX);
  }

  /** Returns the number by which earlier versions identify the workflow, or 0 if they cannot. */
  public static long numberOrZero(WorkflowId id) {
    return hasNumber(id) ? number(id) : 0;
  }

  /**
   * Returns the id in a message or record.
   *
   * @param text the text; empty from earlier versions
   * @param number the number from earlier versions
   * @throws IllegalArgumentException if the text is neither empty nor an id
   */
  public static WorkflowId decode(String text, long number) {
    return text.isEmpty()
        ? WorkflowId.of(Strings.padStart(Long.toHexString(number), WorkflowId.LENGTH, '0'))
        : WorkflowId.of(text);
  }

  /** Encodes the run with the text of the id. */
  public static WorkflowTaskId encode(RunKey run) {
    return WorkflowTaskId.newBuilder()
        .setWorkflowId(run.task().workflow().toString())
        .setOccurrence(run.task().occurrence())
        .setStep(run.task().step())
        .setIndex(run.task().index())
        .setAttempt(run.attempt())
        .build();
  }

  /**
   * Returns the run.
   *
   * @throws IllegalArgumentException if the frame contains none that an owner can have ordered;
   *     those of this system always contain one
   */
  public static RunKey decode(WorkflowTaskId id) {
    WorkflowId workflow = decode(id.getWorkflowId(), id.getWorkflow());
    TaskKey task = new TaskKey(workflow, id.getOccurrence(), id.getStep(), id.getIndex());
    return new RunKey(task, id.getAttempt());
  }
}
