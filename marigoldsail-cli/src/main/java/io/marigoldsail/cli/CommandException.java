package io.marigoldsail.cli;

import io.marigoldsail.error.Failure;

/**
 * Aborts a command with an error line for the operator and an exit code. Only the command line
 * catches it.
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
    String message = failure.kind().code() + ": " + failure.detail() + retry;
    return new CommandException(ExitCode.of(failure), message);
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
