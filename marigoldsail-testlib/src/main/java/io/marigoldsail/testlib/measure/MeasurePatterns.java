package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** The patterns that {@code bin/measure} knows; a slice adds its own here, one line each. */
final class MeasurePatterns {
  private MeasurePatterns() {}

  /** Returns all patterns in the order in which they run. */
  static List<MeasurePattern> all() {
    return ImmutableList.<MeasurePattern>builder()
        .addAll(RequestPatterns.all())
        .addAll(TaskPatterns.all())
        .build();
  }

  /**
   * Returns the patterns whose name is the given text, or whose name before the deployment is.
   *
   * <p>Returns an empty list where nothing matches.
   */
  static List<MeasurePattern> findByName(String text) {
    return all().stream()
        .filter(pattern -> pattern.name().equals(text) || pattern.name().startsWith(text + "@"))
        .toList();
  }
}
