package io.marigoldsail.testlib.interference;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.workflow.WorkflowSpec;

/**
 * A workflow submitted by a caller.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param atMillis the submission time since the beginning of the day, in milliseconds
 * @param kind the kind of work
 * @param declared the submitted specification, with inaccurate run time estimates
 * @param lengthsMillis the actual run time of each task at full speed, by step and index
 */
record WorkflowArrival(
    long atMillis,
    WorkKind kind,
    WorkflowSpec declared,
    ImmutableList<ImmutableList<Double>> lengthsMillis) {

  /** Returns the critical path of the actual run times, in milliseconds; steps run in sequence. */
  double criticalPathMillis() {
    return lengthsMillis.stream().mapToDouble(WorkflowArrival::longest).sum();
  }

  /** Returns the actual work, in thousandths of a processor times milliseconds. */
  double work() {
    double work = 0;
    for (int step = 0; step < lengthsMillis.size(); step++) {
      double milli = declared.steps().get(step).sizes().milliProcessors();
      work += milli * lengthsMillis.get(step).stream().mapToDouble(Double::doubleValue).sum();
    }
    return work;
  }

  private static double longest(ImmutableList<Double> lengths) {
    return lengths.stream().mapToDouble(Double::doubleValue).max().orElse(0);
  }
}
