package io.marigoldsail.error;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * One occurrence of an {@link ErrorKind}, with what is particular to it.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param kind what went wrong
 * @param detail one sentence that names the file, key, value or peer at fault
 * @param retryAfterMillis how long the one who asked should wait before asking again, in
 *     milliseconds from the moment of the answer; 0 where no time is known
 */
public record Failure(ErrorKind kind, String detail, long retryAfterMillis) {
  /** Checks the components. */
  public Failure {
    requireNonNull(kind, "kind");
    requireNonNull(detail, "detail");
    checkArgument(retryAfterMillis >= 0, "retryAfterMillis is negative: %s", retryAfterMillis);
  }

  /** Returns a failure without a time to come back. */
  public static Failure of(ErrorKind kind, String detail) {
    return new Failure(kind, detail, 0);
  }
}
