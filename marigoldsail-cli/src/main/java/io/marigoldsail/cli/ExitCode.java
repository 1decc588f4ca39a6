package io.marigoldsail.cli;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;

/**
 * The exit codes of the command line, a closed set. The operators' documentation lists the same
 * codes and meanings; a test compares them.
 */
public enum ExitCode {
  /** The command succeeded. */
  OK(0, "done"),
  /** Internal error, a fault of this software. */
  INTERNAL(1, "a fault of this software"),
  /** Invalid arguments, or a file that is unreadable or not JSON. */
  USAGE(2, "wrong arguments, or a file that cannot be read or is no JSON"),
  /** Rejected; repeating the same command fails again. */
  REFUSED(3, "refused; correct it, the same again is refused again"),
  /** Not executed; may be retried later. */
  TRY_LATER(4, "not done: no entry answers, or all are full or stopping; ask again later"),
  /** The outcome is unknown; repeating the command is safe and shows it. */
  OUTCOME_UNKNOWN(5, "may have been done; asking the same again tells and does it once"),
  /** Done, but the condition of {@code --wait} was not reached before its timeout. */
  NOT_YET(6, "done, but what --wait waits for has not come in time"),
  /** The job ended with failed or cancelled tasks. */
  TASKS_FAILED(7, "the job ended with failed or cancelled tasks");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /** Returns the process exit status. */
  public int code() {
    return code;
  }

  /** Returns the meaning in words, as in the usage message. */
  public String meaning() {
    return meaning;
  }

  /** Returns the exit code for a failure returned by an entry. */
  static ExitCode of(Failure failure) {
    if (failure.kind() == ErrorKind.INTERNAL) {
      return INTERNAL;
    }
    if (failure.kind().execution() == ErrorKind.Execution.UNKNOWN) {
      return OUTCOME_UNKNOWN;
    }
    return switch (failure.kind().advice()) {
      case CORRECT_REQUEST -> REFUSED;
      case RETRY_LATER -> TRY_LATER;
      case RETRY_IF_IDEMPOTENT -> OUTCOME_UNKNOWN;
    };
  }
}
