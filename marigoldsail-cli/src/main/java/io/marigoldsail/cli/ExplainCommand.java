package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.json.Json;
import io.marigoldsail.timeline.EventFilter;
import io.marigoldsail.timeline.EventJson;
import io.marigoldsail.timeline.TimedEvent;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = "Tells where a task or request is, why, and what happened to it.")
final class ExplainCommand implements Callable<Integer> {
  @Mixin private ConnectionOptions connection;

  @Parameters(
      paramLabel = "SUBJECT",
      description = "A task as JOB/INDEX, or request:ID for a request.")
  private String subject;

  @Override
  public Integer call() {
    try (OperatorClient client = connection.connect()) {
      if (subject.startsWith("request:")) {
        String request = subject.substring("request:".length());
        EventFilter filter = new EventFilter(request, "", "", "", "");
        tell(Json.object().put("request", request), events(client, filter));
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
        JsonNode task = ConnectionOptions.require(client.get(route));
        tell(task, events(client, new EventFilter("", subject, "", "", "")));
      }
      return ExitCode.OK.code();
    }
  }

  private List<TimedEvent> events(OperatorClient client, EventFilter filter) {
    return new TimelineReader(client, filter, connection.err()::println).readNew();
  }

  private void tell(JsonNode found, List<TimedEvent> events) {
    if (connection.json()) {
      ObjectNode node = Json.object();
      node.set("subject", found);
      ArrayNode list = node.putArray("events");
      events.forEach(event -> list.add(EventJson.write(event)));
      connection.printJson(node);
      return;
    }
    found
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
    events.forEach(event -> connection.print(EventLines.line(event)));
  }
}
