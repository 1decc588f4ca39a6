package io.marigoldsail.testlib.measure;

/** A load pattern of {@code bin/measure}. Implementations are immutable. */
public interface MeasurePattern {
  /** Returns the name of the pattern with its deployment, such as {@code overload@vatulele}. */
  String name();

  /**
   * Runs the pattern under each of its policies and numbers of entries.
   *
   * <p>The same seed gives the same rows in the same order: implementations use virtual time and
   * random sources derived from the seed only.
   */
  void run(long seed, MeasureRows rows);
}
