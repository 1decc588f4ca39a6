package io.marigoldsail.timeline;

import static java.util.Objects.requireNonNull;

/**
 * An event in one process; the recorder adds time and process.
 *
 * <p>Immutable. An empty string means that the event has no such subject. Example:
 *
 * <pre>{@code
 * recorder.record(Event.of(EventKind.TASK_CLAIMED).withTask("payout/3").withVm("vm-2"));
 * }</pre>
 *
 * @param kind the kind of event
 * @param request the request's id, or empty
 * @param task the task's name, or empty
 * @param vm the VM's name, or empty
 * @param team the team's name, or empty
 * @param caller the caller's name, or empty
 * @param detail the reason or another explanation, or empty
 */
public record Event(
    EventKind kind,
    String request,
    String task,
    String vm,
    String team,
    String caller,
    String detail) {
  /** Checks the components. */
  public Event {
    requireNonNull(kind, "kind");
    requireNonNull(request, "request");
    requireNonNull(task, "task");
    requireNonNull(vm, "vm");
    requireNonNull(team, "team");
    requireNonNull(caller, "caller");
    requireNonNull(detail, "detail");
  }

  /** Returns an event without subjects. */
  public static Event of(EventKind kind) {
    return new Event(kind, "", "", "", "", "", "");
  }

  /** Returns this event about the given request. */
  public Event withRequest(String newRequest) {
    return new Event(kind, newRequest, task, vm, team, caller, detail);
  }

  /** Returns this event about the given task. */
  public Event withTask(String newTask) {
    return new Event(kind, request, newTask, vm, team, caller, detail);
  }

  /** Returns this event about the given VM. */
  public Event withVm(String newVm) {
    return new Event(kind, request, task, newVm, team, caller, detail);
  }

  /** Returns this event about the given team. */
  public Event withTeam(String newTeam) {
    return new Event(kind, request, task, vm, newTeam, caller, detail);
  }

  /** Returns this event about the given caller. */
  public Event withCaller(String newCaller) {
    return new Event(kind, request, task, vm, team, newCaller, detail);
  }

  /** Returns this event with the given reason. */
  public Event withDetail(String newDetail) {
    return new Event(kind, request, task, vm, team, caller, newDetail);
  }
}
