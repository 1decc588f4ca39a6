package io.marigoldsail.error;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * An occurrence of an {@link ErrorKind}, with its details.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param kind kind of the error
 * @param detail one sentence that names the file, key, value or peer that caused it
 * @param retryAfterMillis time that the caller should wait before repeating the request, in
 *     milliseconds from the response; 0 if unknown
 */
public record Failure(ErrorKind kind, String detail, long retryAfterMillis) {
  /** Checks the components. */
  public Failure {
    requireNonNull(kind, "kind");
    requireNonNull(detail, "detail");
    checkArgument(retryAfterMillis >= 0, "retryAfterMillis is negative: %s", retryAfterMillis);
  }

  /** Returns a failure without a retry-after time. */
  public static Failure of(ErrorKind kind, String detail) {
    return new Failure(kind, detail, 0);
  }
}
