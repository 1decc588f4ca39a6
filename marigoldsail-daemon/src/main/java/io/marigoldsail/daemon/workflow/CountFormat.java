package io.marigoldsail.daemon.workflow;

import com.google.common.collect.Multiset;
import java.util.stream.Collectors;

/** Formats counts for logs. Stateless. */
final class CountFormat {
  private CountFormat() {}

  /** Returns the counts in iteration order, such as {@code 3 offered, 1 rests}. */
  static String format(Multiset<?> counts) {
    return counts.entrySet().stream()
        .map(entry -> entry.getCount() + " " + entry.getElement())
        .collect(Collectors.joining(", "));
  }
}
