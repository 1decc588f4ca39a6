package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkflowId;

/** Ids for tests in which only their being different matters. */
final class TestIds {
  private TestIds() {}

  /** Returns the id whose digits form the number. */
  static WorkflowId id(long number) {
    return WorkflowId.of(String.format("%016x", number));
  }

  /** Returns the number that the digits of the id form. */
  static long number(WorkflowId id) {
    return Long.parseUnsignedLong(id.toString(), 16);
  }

  static TaskKey task(long workflow, int occurrence, int step, int index) {
    return new TaskKey(id(workflow), occurrence, step, index);
  }
}
