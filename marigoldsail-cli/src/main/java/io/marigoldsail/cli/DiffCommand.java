package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.json.Json;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

@Command(
    name = "diff",
    mixinStandardHelpOptions = true,
    description = "Shows what publishing a file would change at each site; publishes nothing.")
final class DiffCommand implements Callable<Integer> {
  @Mixin private ConnectionOptions connection;

  @Parameters(index = "0", paramLabel = "NAME", description = "base, or the overlay's site.")
  private String file;

  @Parameters(index = "1", paramLabel = "FILE", description = "The whole new content, JSON.")
  private Path path;

  @Override
  public Integer call() {
    ObjectNode body = Json.object();
    body.put("file", file);
    body.set("content", ConnectionOptions.readJson(path));
    try (OperatorClient client = connection.connect()) {
      byte[] bytes = Json.bytes(body);
      JsonNode response = ConnectionOptions.valueOrThrow(client.post("/configuration/diff", bytes));
      if (connection.json()) {
        connection.printJson(response);
        return ExitCode.OK.code();
      }
      response.path("sites").forEach(this::print);
      return ExitCode.OK.code();
    }
  }

  private void print(JsonNode site) {
    String name = site.path("site").asText();
    boolean base = name.equals("base");
    String scope = base ? "sites without an overlay" : "site " + name;
    if (site.path("changes").isEmpty()) {
      connection.print(scope + ": no change");
      return;
    }
    connection.print(scope + ":");
    Table table = new Table("  KEY", "BEFORE", "SET BY", "AFTER", "SET BY");
    for (JsonNode change : site.path("changes")) {
      table.add(
          "  " + change.path("key").asText(),
          change.path("before").asText(),
          change.path("beforeSource").asText(),
          change.path("after").asText(),
          change.path("afterSource").asText());
    }
    table.lines().forEach(connection::print);
  }
}
