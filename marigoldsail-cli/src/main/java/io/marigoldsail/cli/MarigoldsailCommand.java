package io.marigoldsail.cli;

import io.marigoldsail.cli.load.LoadCommand;
import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The operators' command-line tool; {@code marigoldsail help COMMAND} describes each command. */
@Command(
    name = "marigoldsail",
    mixinStandardHelpOptions = true,
    version = "marigoldsail 0.1.0",
    description = "Publishes configuration, runs jobs and shows the state of marigoldsail.",
    subcommands = {
      PublishCommand.class,
      ShowCommand.class,
      DiffCommand.class,
      HistoryCommand.class,
      SubmitCommand.class,
      CancelCommand.class,
      StatusCommand.class,
      TimelineCommand.class,
      ExplainCommand.class,
      ProfileCommand.class,
      StartsCommand.class,
      LoadCommand.class,
      AutoComplete.GenerateCompletion.class,
      CommandLine.HelpCommand.class
    })
public final class MarigoldsailCommand {
  private MarigoldsailCommand() {}

  /** Runs the tool and exits the JVM with its {@link ExitCode}. */
  public static void main(String[] arguments) {
    java.util.logging.Logger.getLogger("org.eclipse.jetty")
        .setLevel(java.util.logging.Level.SEVERE);
    PrintWriter out = new PrintWriter(System.out, true);
    PrintWriter err = new PrintWriter(System.err, true);
    System.exit(run(out, err, arguments));
  }

  /** Runs the tool and returns its exit code. */
  public static int run(PrintWriter out, PrintWriter err, String... arguments) {
    CommandLine commandLine = new CommandLine(new MarigoldsailCommand());
    commandLine.setOut(out);
    commandLine.setErr(err);
    commandLine.setCaseInsensitiveEnumValuesAllowed(true);
    commandLine.setExecutionStrategy(new CommandLine.RunLast());
    commandLine.getCommandSpec().exitCodeOnInvalidInput(ExitCode.USAGE.code());
    commandLine.getCommandSpec().usageMessage().exitCodeListHeading("Exit codes:%n");
    commandLine.getCommandSpec().usageMessage().exitCodeList(exitCodes());
    commandLine.setExecutionExceptionHandler(MarigoldsailCommand::explain);
    commandLine.setParameterExceptionHandler(MarigoldsailCommand::explainUsage);
    if (arguments.length == 0) {
      commandLine.usage(err);
      return ExitCode.USAGE.code();
    }
    return commandLine.execute(arguments);
  }

  private static Map<String, String> exitCodes() {
    Map<String, String> codes = new LinkedHashMap<>();
    for (ExitCode code : ExitCode.values()) {
      codes.put(Integer.toString(code.code()), code.meaning());
    }
    return codes;
  }

  /** Prints one line only: the full usage message would scroll the error off the screen. */
  private static int explainUsage(CommandLine.ParameterException error, String[] arguments) {
    CommandLine commandLine = error.getCommandLine();
    String name = commandLine.getCommandSpec().qualifiedName();
    commandLine.getErr().println(error.getMessage() + " (see " + name + " --help)");
    return ExitCode.USAGE.code();
  }

  private static int explain(
      Exception error, CommandLine commandLine, CommandLine.ParseResult parsed) {
    if (error instanceof CommandException failure) {
      commandLine.getErr().println(failure.getMessage());
      return failure.exitCode().code();
    }
    commandLine.getErr().println("internal: " + error);
    error.printStackTrace(commandLine.getErr());
    return ExitCode.INTERNAL.code();
  }
}
