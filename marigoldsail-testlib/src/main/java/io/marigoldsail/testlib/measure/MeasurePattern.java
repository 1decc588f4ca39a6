package io.marigoldsail.testlib.measure;

/** A load pattern that {@code bin/measure} can run. Implementations are immutable. */
public interface MeasurePattern {
  /** Returns the pattern's name with its deployment, such as {@code overload@vatulele}. */
  String name();

  /**
   * Runs the pattern under each policy and number of entries that it knows.
   *
   * <p>The same seed gives the same rows in the same order: implementations use virtual time, no
   * wall clock, and no random source but ones made from the seed.
   */
  void run(long seed, MeasureRows rows);
}
