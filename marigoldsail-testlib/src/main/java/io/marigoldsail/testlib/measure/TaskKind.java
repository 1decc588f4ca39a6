package io.marigoldsail.testlib.measure;

import io.marigoldsail.job.Sizes;

/**
 * How the tasks of one program truly behave.
 *
 * @param program the program's name
 * @param milliProcessors what a task uses
 * @param memoryBytes what a task uses
 * @param serviceSlowdown how much longer the service beside it takes: 0.5 for half as long again
 * @param conflictingProgram the program that it and its kind slow down, and are slowed by; empty
 *     for none
 */
record TaskKind(
    String program,
    long milliProcessors,
    long memoryBytes,
    double serviceSlowdown,
    String conflictingProgram) {
  /** A rival beside it makes a task take so many times longer. */
  static final double CONFLICT_SLOWDOWN = 1.5;

  Sizes sizes() {
    return new Sizes(milliProcessors, memoryBytes, 0);
  }
}
