package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.json.Json;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
    name = "publish",
    mixinStandardHelpOptions = true,
    description = "Publishes the base or a site's overlay; unchanged content creates no revision.")
final class PublishCommand implements Callable<Integer> {
  @Mixin private ConnectionOptions connection;

  @Parameters(index = "0", paramLabel = "NAME", description = "base, or the overlay's site.")
  private String file;

  @Parameters(
      index = "1",
      arity = "0..1",
      paramLabel = "FILE",
      description = "The whole new content, JSON.")
  private Path path;

  @Option(
      names = "--from-revision",
      paramLabel = "N",
      description = "Publish the content of this file at revision N as a new revision.")
  private Long fromRevision;

  @Option(
      names = "--expect",
      paramLabel = "N",
      description = "Fail if the file was changed after revision N, the one that you edited.")
  private Long expectedRevision;

  @Option(names = "--note", defaultValue = "", description = "Reason, kept in the history.")
  private String note;

  @Option(
      names = "--author",
      defaultValue = "${sys:user.name}",
      description = "Author (${DEFAULT-VALUE}).")
  private String author;

  @Option(names = "--check", description = "Only validate; do not publish.")
  private boolean checkOnly;

  @Option(names = "--wait", description = "Wait until it is in force in every live process.")
  private boolean wait;

  @Option(
      names = "--wait-timeout",
      defaultValue = "30000",
      paramLabel = "MILLIS",
      description = "How long --wait waits, in milliseconds (${DEFAULT-VALUE}).")
  private long waitTimeoutMillis;

  @Override
  public Integer call() {
    if ((path == null) == (fromRevision == null)) {
      throw connection.usage("give either FILE or --from-revision");
    }
    try (OperatorClient client = connection.connect()) {
      byte[] content = Json.bytes(content(client));
      JsonNode response = ConnectionOptions.valueOrThrow(client.post(route(), content));
      if (checkOnly) {
        report(response, file + " may be published at revision " + response.path("revision"));
        return ExitCode.OK.code();
      }
      boolean changed = response.path("changed").asBoolean();
      long revision = response.path("revision").asLong();
      String accepted = changed ? "accepted as revision " + revision : "unchanged";
      report(response, file + " " + accepted);
      return wait ? awaitInForce(client, revision).code() : ExitCode.OK.code();
    }
  }

  private JsonNode content(OperatorClient client) {
    if (path != null) {
      return ConnectionOptions.readJson(path);
    }
    JsonNode version =
        ConnectionOptions.valueOrThrow(client.get("/configuration/history/" + fromRevision));
    if (!version.path("file").asText().equals(file)) {
      throw new CommandException(
          ExitCode.REFUSED,
          "revision "
              + fromRevision
              + " changed "
              + version.path("file").asText()
              + ", not "
              + file);
    }
    if (!version.has("content")) {
      throw new CommandException(
          ExitCode.REFUSED, "the content of revision " + fromRevision + " is no longer kept");
    }
    return version.get("content");
  }

  private String route() {
    List<String> query = new ArrayList<>();
    String fullNote =
        note.isEmpty() && fromRevision != null ? "as in revision " + fromRevision : note;
    query.add("author=" + ConnectionOptions.encode(author));
    query.add("note=" + ConnectionOptions.encode(fullNote));
    if (expectedRevision != null) {
      query.add("expectedRevision=" + expectedRevision);
    }
    if (checkOnly) {
      query.add("check=true");
    }
    return "/configuration/" + ConnectionOptions.encode(file) + "?" + String.join("&", query);
  }

  private ExitCode awaitInForce(OperatorClient client, long revision) {
    Optional<JsonNode> reached =
        Polling.until(
            () ->
                client
                    .tryGet("/configuration/in-force")
                    .filter(response -> response.path("everywhere").asLong() >= revision),
            waitTimeoutMillis);
    if (reached.isPresent()) {
      int processes = reached.get().path("processes").size();
      report(reached.get(), "in force in all " + processes + " processes");
      return ExitCode.OK;
    }
    JsonNode last = ConnectionOptions.valueOrThrow(client.get("/configuration/in-force"));
    List<String> behind = new ArrayList<>();
    for (JsonNode process : last.path("processes")) {
      long current = process.path("revision").asLong();
      if (current < revision) {
        behind.add(process.path("process").asText() + " (at revision " + current + ")");
      }
    }
    report(last, "not yet in force in " + String.join(", ", behind));
    return ExitCode.NOT_YET;
  }

  private void report(JsonNode response, String line) {
    if (connection.json()) {
      connection.printJson(response);
    } else {
      connection.print(line);
    }
  }
}
