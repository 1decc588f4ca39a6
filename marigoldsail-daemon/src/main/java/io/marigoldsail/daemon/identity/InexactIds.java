package io.marigoldsail.daemon.identity;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.workflow.WorkflowId;
import java.util.HashSet;
import java.util.Set;

/**
 * The workflows of one partition whose submissions were written by earlier versions, which accepted
 * ids in any case and kept them in lower case. Which workflow the caller submitted is not known:
 * any of those whose ids have the same digits. Confined to one thread.
 */
public final class InexactIds {
  private final Set<WorkflowId> ids = new HashSet<>();

  /** Creates an instance without ids. */
  public InexactIds() {}

  /** Adds the id of a submission, in lower case. */
  public void add(WorkflowId id) {
    ids.add(requireNonNull(id, "id"));
  }

  /** Removes an id, if it is present. */
  public void remove(WorkflowId id) {
    ids.remove(id);
  }

  /** Returns whether the id may have been submitted although only another one is stored. */
  public boolean mayStandFor(WorkflowId id) {
    return id.hasUpperCaseDigits() && ids.contains(id.toLowerCase());
  }
}
