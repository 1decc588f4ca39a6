package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;

/**
 * What {@link VmTracker} knows, to look at and not to change. Confined to the loop's thread; each
 * call shows the state at its time.
 */
final class VmView {
  private final LinkLoop loop;
  private final Map<String, VmSession> sessions;
  private final OpenRuns openRuns;
  private final FleetStatistics fleet;

  /**
   * Returns a view.
   *
   * @param sessions the newest connection of each VM that has one, by the VM's name
   */
  VmView(
      LinkLoop loop,
      Map<String, VmSession> sessions,
      OpenRuns openRuns,
      FleetStatistics knowledge) {
    this.loop = requireNonNull(loop, "loop");
    this.sessions = Collections.unmodifiableMap(sessions);
    this.openRuns = requireNonNull(openRuns, "openRuns");
    this.fleet = requireNonNull(knowledge, "knowledge");
  }

  /** Returns whether the VM may be given work now, or what forbids that. */
  VmAvailability availability(VmSession session) {
    return VmAvailability.of(session, fleet, loop.now());
  }

  /** Returns the newest connection of each VM that has one. */
  Collection<VmSession> sessions() {
    return sessions.values();
  }

  /** Returns the newest connection of the VM, or empty while it has none. */
  Optional<VmSession> session(String vm) {
    return Optional.ofNullable(sessions.get(vm));
  }

  /** Returns the open attempt of a task as it is followed here, or empty if none is. */
  Optional<OpenRun> openRun(WorkflowTask task) {
    return task.place().flatMap(place -> openRuns.find(place.vm(), task.openRun()));
  }
}
