package io.marigoldsail.testlib.interference;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.workflow.WorkflowSpec;

/**
 * A workflow that a caller hands in.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param atMillis when, from the beginning of the day
 * @param kind what it is
 * @param declared what is handed in; run times are declared roughly
 * @param lengthsMillis how long each task really takes at full speed, by step and index
 */
record WorkflowArrival(
    long atMillis,
    WorkKind kind,
    WorkflowSpec declared,
    ImmutableList<ImmutableList<Double>> lengthsMillis) {

  /** Returns the longest chain of real work, in milliseconds: steps follow one another. */
  double criticalPathMillis() {
    return lengthsMillis.stream().mapToDouble(WorkflowArrival::longest).sum();
  }

  /** Returns the real work, in thousandths of a processor times milliseconds. */
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
