package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.json.Json;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
    name = "show",
    mixinStandardHelpOptions = true,
    description = "Shows a site's effective values and the file that set each.")
final class ShowCommand implements Callable<Integer> {
  @Mixin private ConnectionOptions connection;

  @Parameters(
      arity = "0..1",
      paramLabel = "SITE",
      description = "The site; without it, the files and revisions.")
  private String site;

  @Option(
      names = "--file",
      paramLabel = "NAME",
      description = "Print the published content of a file instead: base or a site.")
  private String file;

  @Option(
      names = "--prefix",
      defaultValue = "",
      paramLabel = "KEY",
      description = "Only keys that start so, such as services.parking.")
  private String prefix;

  @Override
  public Integer call() {
    try (OperatorClient client = connection.connect()) {
      if (file != null) {
        showFile(client);
      } else {
        String query = site == null ? "" : "?site=" + ConnectionOptions.encode(site);
        show(ConnectionOptions.valueOrThrow(client.get("/configuration" + query)));
      }
      return ExitCode.OK.code();
    }
  }

  private void showFile(OperatorClient client) {
    String route = "/configuration/" + ConnectionOptions.encode(file);
    JsonNode response = ConnectionOptions.valueOrThrow(client.get(route));
    if (connection.json()) {
      connection.printJson(response);
    } else {
      connection.err().println("revision " + response.path("revision"));
      connection.print(Json.writePretty(response.path("content")));
    }
  }

  private void show(JsonNode response) {
    if (connection.json()) {
      connection.printJson(response);
      return;
    }
    connection.print("revision " + response.path("revision") + " is in force");
    if (site == null) {
      Table files = new Table("FILE", "CHANGED IN");
      response
          .path("files")
          .properties()
          .forEach(entry -> files.add(entry.getKey(), "revision " + entry.getValue()));
      files.lines().forEach(connection::print);
      return;
    }
    Table rows = new Table("KEY", "VALUE", "SET BY");
    for (JsonNode row : response.path("rows")) {
      if (row.path("key").asText().startsWith(prefix)) {
        rows.add(row.path("key").asText(), row.path("value").asText(), row.path("source").asText());
      }
    }
    rows.lines().forEach(connection::print);
  }
}
