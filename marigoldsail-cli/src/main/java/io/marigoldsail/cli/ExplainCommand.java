package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.marigoldsail.cli.logs.CausalLogSorter;
import io.marigoldsail.cli.logs.LogEntry;
import io.marigoldsail.json.Json;
import io.marigoldsail.timeline.EventFilter;
import io.marigoldsail.timeline.EventJson;
import io.marigoldsail.timeline.TimedEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = "Shows the state of a task or request, the reason for it, and its events.")
final class ExplainCommand implements Callable<Integer> {
  @Mixin private ConnectionOptions connection;

  @Parameters(
      paramLabel = "SUBJECT",
      description =
          "A task as JOB/INDEX, or request:ID for a request; with --logs the id of a workflow, task"
              + " or run as in the logs.")
  private String subject;

  @Option(
      names = "--logs",
      arity = "1..*",
      paramLabel = "FILE",
      description = "Use collected logs of all processes instead of entries; - is standard input.")
  private List<String> logs = new ArrayList<>();

  @Override
  public Integer call() {
    if (!logs.isEmpty()) {
      return explainFromLogs();
    }
    try (OperatorClient client = connection.connect()) {
      if (subject.startsWith("request:")) {
        String request = subject.substring("request:".length());
        EventFilter filter = new EventFilter(request, "", "", "", "");
        print(Json.object().put("request", request), events(client, filter));
      } else {
        int slash = subject.lastIndexOf('/');
        if (slash <= 0) {
          throw connection.usage("give a task as JOB/INDEX, or request:ID");
        }
        String route =
            "/tasks/"
                + ConnectionOptions.encode(subject.substring(0, slash))
                + "/"
                + ConnectionOptions.encode(subject.substring(slash + 1));
        JsonNode task = ConnectionOptions.valueOrThrow(client.get(route));
        print(task, events(client, new EventFilter("", subject, "", "", "")));
      }
      return ExitCode.OK.code();
    }
  }

  private int explainFromLogs() {
    List<LogEntry> entries = ProfileCommand.read(logs);
    ImmutableList<LogEntry> sorted = CausalLogSorter.sort(subject, entries);
    if (sorted.isEmpty()) {
      throw new CommandException(
          ExitCode.REFUSED, "none of " + entries.size() + " log lines tells of " + subject);
    }
    sorted.forEach(this::print);
    return ExitCode.OK.code();
  }

  private void print(LogEntry entry) {
    if (connection.json()) {
      ObjectNode node =
          Json.object()
              .put("time", entry.time().toString())
              .put("process", entry.process())
              .put("event", entry.event());
      entry.fields().forEach(node::put);
      connection.printJson(node);
      return;
    }
    StringBuilder line = new StringBuilder();
    line.append(entry.time()).append("  ").append(entry.process()).append("  ");
    line.append(entry.event());
    entry.fields().forEach((key, value) -> line.append("  ").append(key).append('=').append(value));
    connection.print(line.toString());
  }

  private List<TimedEvent> events(OperatorClient client, EventFilter filter) {
    return new TimelineReader(client, filter, connection.err()::println).readNew();
  }

  private void print(JsonNode description, List<TimedEvent> events) {
    if (connection.json()) {
      ObjectNode node = Json.object();
      node.set("subject", description);
      ArrayNode list = node.putArray("events");
      events.forEach(event -> list.add(EventJson.write(event)));
      connection.printJson(node);
      return;
    }
    description
        .properties()
        .forEach(
            field -> {
              JsonNode value = field.getValue();
              String text = value.isValueNode() ? value.asText() : value.toString();
              connection.print(field.getKey() + ": " + text);
            });
    if (events.isEmpty()) {
      connection.print("no events are kept of it any more");
    }
    events.forEach(event -> connection.print(EventFormatter.format(event)));
  }
}
