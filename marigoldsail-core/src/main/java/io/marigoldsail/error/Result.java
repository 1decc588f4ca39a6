package io.marigoldsail.error;

import static java.util.Objects.requireNonNull;

import java.util.function.Function;

/**
 * Either a value or a {@link Failure}; what a method returns where failing is part of its contract.
 *
 * <p>Immutable if the value is. Rejects nulls. Switch over the two permitted types with {@code
 * instanceof}:
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
  /** The value of a call that succeeded. */
  record Ok<T>(T value) implements Result<T> {
    /** Checks the component. */
    public Ok {
      requireNonNull(value, "value");
    }
  }

  /** The failure of a call that did not. */
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
    throw new IllegalStateException("no value but " + this);
  }

  /** Returns the result of the next step, or this failure. */
  default <U> Result<U> then(Function<? super T, Result<U>> step) {
    if (this instanceof Ok<T> ok) {
      return step.apply(ok.value());
    }
    return new Failed<>(((Failed<T>) this).failure());
  }
}
