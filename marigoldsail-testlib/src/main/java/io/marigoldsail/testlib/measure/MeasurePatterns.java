package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** The registry of the patterns of {@code bin/measure}. */
final class MeasurePatterns {
  private MeasurePatterns() {}

  /** Returns all patterns in execution order. */
  static List<MeasurePattern> all() {
    return ImmutableList.<MeasurePattern>builder()
        .addAll(RequestPatterns.all())
        .addAll(TaskPatterns.all())
        .build();
  }

  /**
   * Returns the patterns with the given name, with or without the deployment; empty if there are
   * none.
   */
  static List<MeasurePattern> findByName(String text) {
    return all().stream()
        .filter(pattern -> pattern.name().equals(text) || pattern.name().startsWith(text + "@"))
        .toList();
  }
}
