package io.marigoldsail.cli;

import io.marigoldsail.timeline.EventFilter;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;

/** Options that select events of the event timeline. */
final class FilterOptions {
  @Option(
      names = "--request",
      defaultValue = "",
      paramLabel = "ID",
      description = "Only this request.")
  private String request;

  @Option(
      names = "--task",
      defaultValue = "",
      paramLabel = "NAME",
      description = "Only this task (JOB/INDEX), or all tasks of a job (JOB).")
  private String task;

  @Option(names = "--vm", defaultValue = "", paramLabel = "NAME", description = "Only this VM.")
  private String vm;

  @Option(names = "--team", defaultValue = "", paramLabel = "NAME", description = "Only this team.")
  private String team;

  @Option(
      names = "--caller",
      defaultValue = "",
      paramLabel = "NAME",
      description = "Only this caller.")
  private String caller;

  FilterOptions() {}

  EventFilter filter() {
    return new EventFilter(request, task, vm, team, caller);
  }

  static String query(EventFilter filter) {
    List<String> parameters = new ArrayList<>();
    add(parameters, "request", filter.request());
    add(parameters, "task", filter.task());
    add(parameters, "vm", filter.vm());
    add(parameters, "team", filter.team());
    add(parameters, "caller", filter.caller());
    return String.join("", parameters);
  }

  private static void add(List<String> parameters, String key, String value) {
    if (!value.isEmpty()) {
      parameters.add("&" + key + "=" + ConnectionOptions.encode(value));
    }
  }
}
