package io.marigoldsail.cli;

import io.marigoldsail.cli.logs.LogStarts;
import io.marigoldsail.cli.logs.LogStarts.Stage;
import io.marigoldsail.cli.logs.LogStarts.Start;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
    name = "starts",
    mixinStandardHelpOptions = true,
    description =
        "Shows from collected logs how long each start of a process took to its stages, in"
            + " milliseconds.")
final class StartsCommand implements Callable<Integer> {
  private static final String NOT_REACHED = "-";

  @Parameters(
      arity = "1..*",
      paramLabel = "FILE",
      description = "Logs of entries and side processes; - is standard input.")
  private List<String> files = new ArrayList<>();

  @Spec private CommandSpec command;

  @Override
  public Integer call() {
    List<Start> starts = LogStarts.of(ProfileCommand.read(files));
    if (starts.isEmpty()) {
      throw new CommandException(ExitCode.REFUSED, "no log line tells of a start");
    }
    Table table =
        new Table(
            Stream.concat(
                    Stream.of("time", "process"),
                    Stream.of(Stage.values()).map(stage -> stage.name().toLowerCase(Locale.ROOT)))
                .toArray(String[]::new));
    for (Start start : starts) {
      table.add(
          Stream.concat(
                  Stream.of(start.time().toString(), start.process()),
                  Stream.of(Stage.values()).map(stage -> cell(start.millis(stage))))
              .toArray(String[]::new));
    }
    PrintWriter out = command.commandLine().getOut();
    table.lines().forEach(out::println);
    out.flush();
    return ExitCode.OK.code();
  }

  private static String cell(OptionalLong millis) {
    return millis.isPresent() ? String.valueOf(millis.getAsLong()) : NOT_REACHED;
  }
}
