package io.marigoldsail.daemon.workflow;

import com.google.common.collect.Multiset;
import java.util.stream.Collectors;

/** Counts by kind as a text for logs. Stateless. */
final class CountFormat {
  private CountFormat() {}

  /** Returns the counts in the order of the set, such as {@code 3 offered, 1 rests}. */
  static String format(Multiset<?> counts) {
    return counts.entrySet().stream()
        .map(entry -> entry.getCount() + " " + entry.getElement())
        .collect(Collectors.joining(", "));
  }
}
