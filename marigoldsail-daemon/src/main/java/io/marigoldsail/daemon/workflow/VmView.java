package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.WorkflowTask;
import io.marigoldsail.workflow.ZoneEvacuations;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A read-only view of {@link VmTracker}; each call returns the current state. Confined to the
 * loop's thread.
 */
final class VmView {
  private final LinkLoop loop;
  private final Map<String, VmSession> sessions;
  private final OpenRuns openRuns;
  private final FleetStatistics fleet;
  private final KnownEvacuations evacuations;

  /**
   * Creates a view.
   *
   * @param sessions the newest connection of each VM that has one, by the VM's name
   */
  VmView(
      LinkLoop loop,
      Map<String, VmSession> sessions,
      OpenRuns openRuns,
      FleetStatistics fleet,
      KnownEvacuations evacuations) {
    this.loop = requireNonNull(loop, "loop");
    this.sessions = Collections.unmodifiableMap(sessions);
    this.openRuns = requireNonNull(openRuns, "openRuns");
    this.fleet = requireNonNull(fleet, "fleet");
    this.evacuations = requireNonNull(evacuations, "evacuations");
  }

  /** Returns whether the side process of the VM reads workflow ids as texts. */
  boolean readsTextIds(String vm) {
    VmSession session = sessions.get(vm);
    return session != null && session.report().getReadsTextIds();
  }

  /** Returns whether the VM may be given work now, or why not. */
  VmAvailability availability(VmSession session) {
    return VmAvailability.of(session, fleet, loop.now());
  }

  /** Returns whether no run may start on the VM because its zone is evacuated. */
  boolean isEvacuated(VmSession session) {
    return evacuations.includes(session.report().getZone());
  }

  /** Returns whether the VM has lately refused a task of the best-effort image. */
  boolean hasRefused(String vm, String image) {
    VmSession session = sessions.get(vm);
    return session != null && session.hasRefused(image, loop.now());
  }

  /** Returns the number of open runs of the task's step and occurrence on the VM. */
  int openRunsOfStep(String vm, WorkflowTask task) {
    return openRuns.countOfStep(vm, task);
  }

  /** Returns a rack on which tasks of the step and occurrence run, or an empty string. */
  String rackOfStep(WorkflowTask task) {
    return task.workflow().openTasksOf(task.key().occurrence(), task.key().step()).stream()
        .flatMap(sibling -> sibling.place().stream())
        .map(place -> sessions.get(place.vm()))
        .filter(Objects::nonNull)
        .map(session -> session.report().getRack())
        .findFirst()
        .orElse("");
  }

  /** Returns what the VM offers once the task has been placed there. */
  VmOffer offerAfter(VmOffer offer, WorkflowTask task) {
    return offer.afterPlacing(task.step(), fleet.interferenceOf(task.step().traits().image()));
  }

  /** Returns the evacuations of zones in force. */
  ZoneEvacuations evacuations() {
    return evacuations.newest();
  }

  /** Returns the newest connection of each VM that has one. */
  Collection<VmSession> sessions() {
    return sessions.values();
  }

  /** Returns the newest connection of the VM, or empty while it has none. */
  Optional<VmSession> session(String vm) {
    return Optional.ofNullable(sessions.get(vm));
  }

  /** Returns the tracked run of the task's open attempt, or empty if there is none. */
  Optional<OpenRun> openRun(WorkflowTask task) {
    return task.place().flatMap(place -> openRuns.find(place.vm(), task.openRun()));
  }

  /** Returns all open runs on VMs whose workers are draining. */
  ImmutableList<OpenRun> runsOnDrainingVms() {
    return runsOn(VmReport::getDraining);
  }

  /** Returns the open runs that exceed their VM's capacity for interfering runs. */
  ImmutableList<OpenRun> excessRuns() {
    ImmutableList.Builder<OpenRun> excess = ImmutableList.builder();
    for (VmSession session : sessions.values()) {
      session.report().getRunsList().stream()
          .filter(RunReport::getCrowded)
          .flatMap(
              run -> openRuns.find(session.vm(), WorkflowIdCodec.decode(run.getTask())).stream())
          .forEach(excess::add);
    }
    return excess.build();
  }

  /** Returns the open interfering runs on VMs that throttle such runs to the share or less. */
  ImmutableList<OpenRun> runsThrottledTo(int percent) {
    return runsOn(report -> report.getServing() > 0 && report.getFillPercent() <= percent).stream()
        .filter(run -> run.task().step().traits().bestEffort())
        .filter(run -> fleet.isInterfering(run.task()))
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableList<OpenRun> runsOn(Predicate<VmReport> predicate) {
    ImmutableList.Builder<OpenRun> runs = ImmutableList.builder();
    for (VmSession session : sessions.values()) {
      if (predicate.test(session.report())) {
        runs.addAll(openRuns.onVm(session.vm()));
      }
    }
    return runs.build();
  }
}
