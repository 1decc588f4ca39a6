package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.json.Json;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
    name = "submit",
    mixinStandardHelpOptions = true,
    description = "Submits a job; submitting the same file again changes nothing.")
final class SubmitCommand implements Callable<Integer> {
  @Mixin private ConnectionOptions connection;

  @Parameters(paramLabel = "FILE", description = "The job, JSON.")
  private Path path;

  @Option(names = "--wait", description = "Wait until all tasks have ended.")
  private boolean wait;

  @Option(
      names = "--wait-timeout",
      defaultValue = "600000",
      paramLabel = "MILLIS",
      description = "How long --wait waits, in milliseconds (${DEFAULT-VALUE}).")
  private long waitTimeoutMillis;

  @Override
  public Integer call() {
    byte[] body = Json.bytes(ConnectionOptions.readJson(path));
    try (OperatorClient client = connection.connect()) {
      String route = "/jobs?file=" + ConnectionOptions.encode(path.getFileName().toString());
      JsonNode job = ConnectionOptions.valueOrThrow(client.post(route, body));
      print(job);
      return (wait ? await(client, job) : ExitCode.OK).code();
    }
  }

  private ExitCode await(OperatorClient client, JsonNode submitted) {
    String route = "/jobs/" + ConnectionOptions.encode(submitted.path("name").asText());
    Optional<JsonNode> ended =
        Polling.until(
            () -> client.tryGet(route).filter(job -> job.path("ended").asBoolean()),
            waitTimeoutMillis);
    print(ended.orElseGet(() -> ConnectionOptions.valueOrThrow(client.get(route))));
    return ended.map(JobFormatter::exitCode).orElse(ExitCode.NOT_YET);
  }

  private void print(JsonNode job) {
    if (connection.json()) {
      connection.printJson(job);
    } else {
      connection.print(JobFormatter.formatLine(job));
    }
  }
}
