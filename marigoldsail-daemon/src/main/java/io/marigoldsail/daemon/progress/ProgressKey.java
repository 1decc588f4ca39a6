package io.marigoldsail.daemon.progress;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.primitives.Ints;
import java.util.Optional;

/**
 * Key of a record of a workflow's progress.
 *
 * <p>Part 0 has the key of the workflow, and holds its status and its first tasks; it is the only
 * one of most workflows. Further parts hold further tasks. Immutable.
 *
 * @param workflow the key of the workflow; without {@value #SEPARATOR}
 * @param part the number of the part, from 0
 */
public record ProgressKey(String workflow, int part) {
  private static final String SEPARATOR = "/";

  /** Checks the components. */
  public ProgressKey {
    requireNonNull(workflow, "workflow");
    checkArgument(!workflow.contains(SEPARATOR), "workflow contains a separator: %s", workflow);
    checkArgument(part >= 0, "part is negative: %s", part);
  }

  /** Returns the key of the text, or empty if {@link #toString} returns no such text. */
  public static Optional<ProgressKey> parse(String text) {
    int separator = text.indexOf(SEPARATOR);
    if (separator < 0) {
      return Optional.of(new ProgressKey(text, 0));
    }
    Integer part = Ints.tryParse(text.substring(separator + 1));
    if (part == null || part < 1) {
      return Optional.empty();
    }
    ProgressKey key = new ProgressKey(text.substring(0, separator), part);
    return key.toString().equals(text) ? Optional.of(key) : Optional.empty();
  }

  /** Returns the key in the store. */
  @Override
  public String toString() {
    return part == 0 ? workflow : workflow + SEPARATOR + part;
  }
}
