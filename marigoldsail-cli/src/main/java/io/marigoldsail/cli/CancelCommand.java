package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
    name = "cancel",
    mixinStandardHelpOptions = true,
    description = "Cancels a job; its running tasks are stopped.")
final class CancelCommand implements Callable<Integer> {
  @Mixin private ConnectionOptions connection;

  @Parameters(paramLabel = "JOB", description = "The job's name.")
  private String job;

  @Option(names = "--reason", defaultValue = "cancelled by an operator", description = "Why.")
  private String reason;

  @Override
  public Integer call() {
    try (OperatorClient client = connection.connect()) {
      String route =
          "/jobs/" + ConnectionOptions.encode(job) + "?reason=" + ConnectionOptions.encode(reason);
      JsonNode response = ConnectionOptions.valueOrThrow(client.delete(route));
      if (connection.json()) {
        connection.printJson(response);
      } else {
        connection.print(JobFormatter.formatLine(response));
      }
      return ExitCode.OK.code();
    }
  }
}
