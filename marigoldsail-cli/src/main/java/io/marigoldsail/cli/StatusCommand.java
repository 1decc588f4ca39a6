package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.json.Json;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Shows all processes, the configuration's revision and all jobs, or one job.")
final class StatusCommand implements Callable<Integer> {
  @Mixin private ConnectionOptions connection;

  @Parameters(arity = "0..1", paramLabel = "JOB", description = "Only this job.")
  private String job;

  @Override
  public Integer call() {
    try (OperatorClient client = connection.connect()) {
      if (job != null) {
        printJob(
            ConnectionOptions.valueOrThrow(client.get("/jobs/" + ConnectionOptions.encode(job))));
      } else {
        printAll(client);
      }
      return ExitCode.OK.code();
    }
  }

  private void printJob(JsonNode response) {
    if (connection.json()) {
      connection.printJson(response);
    } else {
      connection.print(JobFormatter.formatLine(response));
    }
  }

  private void printAll(OperatorClient client) {
    JsonNode members = ConnectionOptions.valueOrThrow(client.get("/members")).path("processes");
    JsonNode inForce = ConnectionOptions.valueOrThrow(client.get("/configuration/in-force"));
    JsonNode response = ConnectionOptions.valueOrThrow(client.get("/jobs"));
    JsonNode jobs = response.isArray() ? response : response.path("jobs");
    if (connection.json()) {
      ObjectNode node = Json.object();
      node.set("processes", members);
      node.set("configuration", inForce);
      node.set("jobs", jobs);
      connection.printJson(node);
      return;
    }
    connection.print(
        "configuration: revision "
            + inForce.path("accepted")
            + " accepted, revision "
            + inForce.path("everywhere")
            + " in force everywhere");
    Table table = new Table("PROCESS", "ROLE", "ZONE", "OPERATORS", "REVISION", "STATE");
    for (JsonNode member : members) {
      table.add(
          member.path("process").asText(),
          member.path("role").asText(),
          member.path("zone").asText(),
          member.path("operators").asText(),
          member.path("revision").asText(),
          member.path("leaving").asBoolean() ? "leaving" : "live");
    }
    table.lines().forEach(connection::print);
    JobFormatter.formatTable(jobs).forEach(connection::print);
  }
}
