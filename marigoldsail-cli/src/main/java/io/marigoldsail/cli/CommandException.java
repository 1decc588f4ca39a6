package io.marigoldsail.cli;

import io.marigoldsail.error.Failure;

/**
 * Ends a command with a line for the operator and an exit code; caught by the command line only.
 */
final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  static CommandException of(Failure failure) {
    String retry =
        failure.retryAfterMillis() > 0
            ? " (ask again in " + failure.retryAfterMillis() + " ms)"
            : "";
    String line = failure.kind().code() + ": " + failure.detail() + retry;
    return new CommandException(ExitCode.of(failure), line);
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
