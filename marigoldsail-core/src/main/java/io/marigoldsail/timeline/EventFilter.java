package io.marigoldsail.timeline;

import static java.util.Objects.requireNonNull;

/**
 * Which events a reader wants; empty strings stand for any.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param request the request's id
 * @param task a task's name, or a job's for all of its tasks
 * @param vm the VM's name
 * @param team the team's name
 * @param caller the caller's name
 */
public record EventFilter(String request, String task, String vm, String team, String caller) {
  /** Lets every event through. */
  public static final EventFilter ALL = new EventFilter("", "", "", "", "");

  /** Checks the components. */
  public EventFilter {
    requireNonNull(request, "request");
    requireNonNull(task, "task");
    requireNonNull(vm, "vm");
    requireNonNull(team, "team");
    requireNonNull(caller, "caller");
  }

  /** Returns whether the event is wanted. */
  public boolean matches(Event event) {
    return matchesField(request, event.request())
        && matchesTask(event.task())
        && matchesField(vm, event.vm())
        && matchesField(team, event.team())
        && matchesField(caller, event.caller());
  }

  private boolean matchesTask(String name) {
    return matchesField(task, name) || name.startsWith(task + "/");
  }

  private static boolean matchesField(String wanted, String found) {
    return wanted.isEmpty() || wanted.equals(found);
  }
}
