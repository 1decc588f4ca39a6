package io.marigoldsail.cli;

import io.marigoldsail.cli.logs.LogEntry;
import io.marigoldsail.cli.logs.LogFiles;
import io.marigoldsail.cli.logs.LogProfile;
import io.marigoldsail.cli.logs.LogProfile.LatencySummary;
import io.marigoldsail.cli.logs.LogProfile.QueueProfile;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
    name = "profile",
    mixinStandardHelpOptions = true,
    description = "Shows from collected logs how workflows spend their time, by queue.")
final class ProfileCommand implements Callable<Integer> {
  @Parameters(
      arity = "1..*",
      paramLabel = "FILE",
      description = "Logs of all entries; - is standard input.")
  private List<String> files = new ArrayList<>();

  @Spec private CommandSpec command;

  @Override
  public Integer call() {
    List<QueueProfile> profiles = LogProfile.of(read(files));
    if (profiles.isEmpty()) {
      throw new CommandException(ExitCode.REFUSED, "no log line tells of an order");
    }
    PrintWriter out = command.commandLine().getOut();
    for (QueueProfile queue : profiles) {
      out.printf("%s: %d workflows, %d tasks%n", queue.name(), queue.workflows(), queue.tasks());
      print(out, "first order", queue.firstStart());
      queue.runs().forEach((outcome, times) -> print(out, "run " + outcome, times));
    }
    out.flush();
    return ExitCode.OK.code();
  }

  static List<LogEntry> read(List<String> files) {
    try {
      return LogFiles.read(files);
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, "cannot be read: " + e.getMessage());
    }
  }

  private static void print(PrintWriter out, String label, LatencySummary times) {
    out.printf(
        "  %-16s %6d  median %7d ms  p95 %7d ms%n",
        label, times.count(), times.medianMillis(), times.p95Millis());
  }
}
