package io.marigoldsail.testlib.measure;

import io.marigoldsail.job.Sizes;

/**
 * The actual behaviour of the tasks of one program.
 *
 * @param program the name of the program
 * @param milliProcessors the processors used by a task, in thousandths
 * @param memoryBytes the memory used by a task
 * @param serviceSlowdown the relative increase in latency of a co-located service: 0.5 for 50% more
 * @param conflictingProgram the program whose co-located tasks slow down, and are slowed down by,
 *     those of this program; empty for none
 */
record TaskKind(
    String program,
    long milliProcessors,
    long memoryBytes,
    double serviceSlowdown,
    String conflictingProgram) {
  /** The slowdown factor of a task next to one of the conflicting program. */
  static final double CONFLICT_SLOWDOWN = 1.5;

  Sizes sizes() {
    return new Sizes(milliProcessors, memoryBytes, 0);
  }
}
