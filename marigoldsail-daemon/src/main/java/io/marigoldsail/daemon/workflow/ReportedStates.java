package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.protocol.VmReport;
import java.util.HashMap;
import java.util.Map;

/**
 * What a side process told each entry last of its VM, as far as it tells all entries the same.
 *
 * <p>Many changes leave that as it is, such as the first listing of a run whose room was booked
 * with its order: whoever does not own the run has nothing to learn from them. Confined to one
 * thread.
 */
final class ReportedStates {
  private final Map<String, VmReport> states = new HashMap<>();

  /** Notes that the member is told the state now. */
  void record(String member, VmReport state) {
    states.put(requireNonNull(member, "member"), requireNonNull(state, "state"));
  }

  /** Returns whether the member was told just this last. */
  boolean isUpToDate(String member, VmReport state) {
    return state.equals(states.get(member));
  }

  /** Forgets a member that is not reached any more. */
  void remove(String member) {
    states.remove(member);
  }
}
