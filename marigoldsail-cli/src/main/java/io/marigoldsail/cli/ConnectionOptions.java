package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.settings.HostPort;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Options and helpers of every command that sends requests to an entry. */
final class ConnectionOptions {
  @Option(
      names = {"-e", "--entries"},
      split = ",",
      defaultValue = "${env:MARIGOLDSAIL_ENTRIES}",
      paramLabel = "HOST:PORT",
      description =
          "Operators' addresses of entries, tried in order; default: MARIGOLDSAIL_ENTRIES.")
  private List<String> entries = new ArrayList<>();

  @Option(names = "--json", description = "Print JSON, one document per line, for scripts.")
  private boolean json;

  @Option(
      names = "--timeout",
      defaultValue = "15000",
      paramLabel = "MILLIS",
      description = "Timeout of one request, in milliseconds (${DEFAULT-VALUE}).")
  private long timeoutMillis;

  @Spec(Spec.Target.MIXEE)
  private CommandSpec command;

  ConnectionOptions() {}

  boolean json() {
    return json;
  }

  PrintWriter out() {
    return command.commandLine().getOut();
  }

  PrintWriter err() {
    return command.commandLine().getErr();
  }

  void printJson(JsonNode node) {
    out().println(Json.write(node));
    out().flush();
  }

  void print(String line) {
    out().println(line);
    out().flush();
  }

  OperatorClient connect() {
    List<HostPort> addresses = new ArrayList<>();
    for (String entry : entries == null ? List.<String>of() : entries) {
      HostPort address =
          HostPort.parse(entry.strip())
              .orElseThrow(() -> usage("--entries: must be host:port, is \"" + entry + "\""));
      addresses.add(address);
    }
    if (addresses.isEmpty()) {
      throw usage("no entry given: use --entries HOST:PORT or set MARIGOLDSAIL_ENTRIES");
    }
    return new OperatorClient(addresses, timeoutMillis);
  }

  CommandLine.ParameterException usage(String message) {
    return new CommandLine.ParameterException(command.commandLine(), message);
  }

  /**
   * Returns the value.
   *
   * @throws CommandException with the failure's message and exit code if there is no value
   */
  static <T> T valueOrThrow(Result<T> result) {
    if (result instanceof Result.Failed<T> failed) {
      throw CommandException.of(failed.failure());
    }
    return result.value();
  }

  static byte[] readFile(Path file) {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, file + ": cannot be read: " + e);
    }
  }

  /** Reads a JSON file; a parse error names file, line and column. */
  static JsonNode readJson(Path file) {
    Result<JsonNode> parsed = Json.parse(file.toString(), readFile(file));
    if (parsed instanceof Result.Failed<JsonNode> failed) {
      throw new CommandException(ExitCode.USAGE, failed.failure().detail());
    }
    return parsed.value();
  }

  static String encode(String value) {
    return URLEncoder.encode(value, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
