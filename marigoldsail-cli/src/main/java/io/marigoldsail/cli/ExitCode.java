package io.marigoldsail.cli;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;

/** The closed list of exit codes; the operators' page shows it. */
public enum ExitCode {
  /** Done. */
  OK(0, "done"),
  /** A fault of this software. */
  INTERNAL(1, "a fault of this software"),
  /** Wrong arguments, or a file that cannot be read or is no JSON. */
  USAGE(2, "wrong arguments, or a file that cannot be read or is no JSON"),
  /** Refused; the same again is refused again. */
  REFUSED(3, "refused; correct it, the same again is refused again"),
  /** Not done; ask again later. */
  TRY_LATER(4, "not done: no entry answers, or all are full or stopping; ask again later"),
  /** Nobody knows whether it was done; asking the same again tells. */
  OUTCOME_UNKNOWN(5, "may have been done; asking the same again tells and does it once"),
  /** Done, but what {@code --wait} waits for has not come in time. */
  NOT_YET(6, "done, but what --wait waits for has not come in time"),
  /** The job ended with failed or cancelled tasks. */
  TASKS_FAILED(7, "the job ended with failed or cancelled tasks");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /** Returns the number that the shell sees. */
  public int code() {
    return code;
  }

  /** Returns what the code tells, in words. */
  public String meaning() {
    return meaning;
  }

  /** Returns the code for a failure that an entry answered. */
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
