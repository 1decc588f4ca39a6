package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.protocol.VmReport;
import java.util.HashMap;
import java.util.Map;

/**
 * The VM state that a side process last reported to each entry, without the parts that differ
 * between entries.
 *
 * <p>Many changes leave this state unchanged, such as the first listing of a run whose resources
 * were reserved with its order; such a change need not be reported to entries that do not own the
 * run. Confined to one thread.
 */
final class ReportedStates {
  private final Map<String, VmReport> states = new HashMap<>();

  /** Records that the state is reported to the member now. */
  void record(String member, VmReport state) {
    states.put(requireNonNull(member, "member"), requireNonNull(state, "state"));
  }

  /** Returns whether the state is the one last reported to the member. */
  boolean isUpToDate(String member, VmReport state) {
    return state.equals(states.get(member));
  }

  /** Removes a member that is no longer connected. */
  void remove(String member) {
    states.remove(member);
  }
}
