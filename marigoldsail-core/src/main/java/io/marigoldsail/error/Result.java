package io.marigoldsail.error;

import static java.util.Objects.requireNonNull;

import java.util.function.Function;

/**
 * Either a value or a {@link Failure}; the return type of methods whose contract includes failures.
 *
 * <p>Immutable if the value is. Rejects nulls. Use {@code instanceof} to distinguish the two
 * permitted types:
 *
 * <pre>{@code
 * Result<Long> appended = log.append(stream, records);
 * if (appended instanceof Result.Failed<Long> failed) {
 *   return failed.failure();
 * }
 * }</pre>
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {
  /** The value of a successful call. */
  record Ok<T>(T value) implements Result<T> {
    /** Checks the component. */
    public Ok {
      requireNonNull(value, "value");
    }
  }

  /** The failure of an unsuccessful call. */
  record Failed<T>(Failure failure) implements Result<T> {
    /** Checks the component. */
    public Failed {
      requireNonNull(failure, "failure");
    }
  }

  /** Returns a successful result. */
  static <T> Result<T> ok(T value) {
    return new Ok<>(value);
  }

  /** Returns a failed result. */
  static <T> Result<T> failed(Failure failure) {
    return new Failed<>(failure);
  }

  /** Returns a failed result of the given kind. */
  static <T> Result<T> failed(ErrorKind kind, String detail) {
    return new Failed<>(Failure.of(kind, detail));
  }

  /** Returns whether this is {@link Ok}. */
  default boolean isOk() {
    return this instanceof Ok;
  }

  /**
   * Returns the value.
   *
   * @throws IllegalStateException if this is a failure
   */
  default T value() {
    if (this instanceof Ok<T> ok) {
      return ok.value();
    }
    throw new IllegalStateException("result is not Ok: " + this);
  }

  /** Applies the function to the value, or returns this failure. */
  default <U> Result<U> then(Function<? super T, Result<U>> step) {
    if (this instanceof Ok<T> ok) {
      return step.apply(ok.value());
    }
    return new Failed<>(((Failed<T>) this).failure());
  }
}
