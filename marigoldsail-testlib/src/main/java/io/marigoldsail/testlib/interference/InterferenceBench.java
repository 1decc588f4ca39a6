package io.marigoldsail.testlib.interference;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The main class of {@code bin/measure-interference}. */
@Command(
    name = "measure-interference",
    description = "Compares policies for heavy tasks beside services on modelled days.",
    mixinStandardHelpOptions = true)
public final class InterferenceBench implements Callable<Integer> {
  private static final int DEFAULT_DAYS = 200;
  private static final int MIN_DAYS = 2;

  @Spec private CommandSpec spec;

  @Option(names = "--days", description = "How many days (default ${DEFAULT-VALUE}, at least 2).")
  private int days = DEFAULT_DAYS;

  @Option(names = "--seed", description = "Seed of the first day (default ${DEFAULT-VALUE}).")
  private long seed = 1;

  @Option(names = "--fleet", description = "One of ${COMPLETION-CANDIDATES}; all if not named.")
  private FleetShape fleet;

  private final PrintStream out;

  /** Creates the command with its output stream. */
  public InterferenceBench(PrintStream out) {
    this.out = out;
  }

  /** Runs the command and exits with its status: 0 for success, 2 for wrong usage. */
  public static void main(String[] arguments) {
    CommandLine command = new CommandLine(new InterferenceBench(System.out));
    System.exit(command.execute(arguments));
  }

  @Override
  public Integer call() {
    if (days < MIN_DAYS) {
      throw new ParameterException(spec.commandLine(), "--days is under 2: " + days);
    }
    List<FleetShape> shapes = fleet == null ? List.of(FleetShape.values()) : List.of(fleet);
    for (FleetShape shape : shapes) {
      PolicyTable.play(shape, days, seed).lines().forEach(out::println);
    }
    return CommandLine.ExitCode.OK;
  }
}
