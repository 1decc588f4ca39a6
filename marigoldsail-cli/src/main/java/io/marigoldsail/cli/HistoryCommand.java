package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(
    name = "history",
    mixinStandardHelpOptions = true,
    description = "Shows all published revisions; publish --from-revision publishes one again.")
final class HistoryCommand implements Callable<Integer> {
  @Mixin private ConnectionOptions connection;

  @Option(names = "--file", paramLabel = "NAME", description = "Only this file.")
  private String file;

  @Override
  public Integer call() {
    try (OperatorClient client = connection.connect()) {
      JsonNode response = ConnectionOptions.valueOrThrow(client.get("/configuration/history"));
      if (connection.json()) {
        connection.printJson(response);
        return ExitCode.OK.code();
      }
      Table table = new Table("REVISION", "FILE", "WHEN", "AUTHOR", "CONTENT", "NOTE");
      for (JsonNode version : response.path("versions")) {
        if (file == null || file.equals(version.path("file").asText())) {
          table.add(
              version.path("revision").asText(),
              version.path("file").asText(),
              Instant.ofEpochMilli(version.path("atMillis").asLong()).toString(),
              version.path("author").asText(),
              version.path("contentKept").asBoolean() ? "kept" : "gone",
              version.path("note").asText());
        }
      }
      table.lines().forEach(connection::print);
      return ExitCode.OK.code();
    }
  }
}
