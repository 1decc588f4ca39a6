package io.marigoldsail.testlib.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The main class of {@code bin/measure}. */
@Command(
    name = "measure",
    description = "Measures the decision modules on a virtual clock; prints CSV.",
    mixinStandardHelpOptions = true)
public final class Measure implements Callable<Integer> {
  private static final long DEFAULT_SEED = 1;

  @Spec private CommandSpec spec;

  @Option(names = "--list", description = "Print the names of the patterns and end.")
  private boolean list;

  @Option(names = "--seed", description = "Seed of all random choices (default ${DEFAULT-VALUE}).")
  private long seed = DEFAULT_SEED;

  @Option(
      names = "--plot",
      paramLabel = "DIRECTORY",
      description = "Write plots of latency and goodput against load there, print nothing.")
  private Path plotDirectory;

  @Parameters(
      paramLabel = "PATTERN",
      description = "Patterns to run, with or without @DEPLOYMENT; all where none is named.")
  private List<String> names = new ArrayList<>();

  private final PrintStream out;

  /** Creates the command with its output stream. */
  public Measure(PrintStream out) {
    this.out = out;
  }

  /** Runs the command and exits with its status: 0 for success, 2 for wrong usage. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new Measure(System.out)).execute(arguments));
  }

  @Override
  public Integer call() throws IOException {
    if (list) {
      MeasurePatterns.all().forEach(pattern -> out.println(pattern.name()));
      return CommandLine.ExitCode.OK;
    }
    if (plotDirectory != null) {
      LoadPlots.write(plotDirectory, seed);
      return CommandLine.ExitCode.OK;
    }
    List<MeasurePattern> chosen = chosen();
    MeasureRows rows = new MeasureRows(out);
    chosen.forEach(pattern -> pattern.run(seed, rows));
    return CommandLine.ExitCode.OK;
  }

  private List<MeasurePattern> chosen() {
    if (names.isEmpty()) {
      return MeasurePatterns.all();
    }
    List<MeasurePattern> chosen = new ArrayList<>();
    for (String name : names) {
      List<MeasurePattern> matching = MeasurePatterns.findByName(name);
      if (matching.isEmpty()) {
        throw new ParameterException(
            spec.commandLine(), "No pattern is called " + name + "; --list names them");
      }
      chosen.addAll(matching);
    }
    return chosen;
  }
}
