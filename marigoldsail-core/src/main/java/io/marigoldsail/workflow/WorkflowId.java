package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.base.Ascii;
import com.google.common.hash.Hashing;
import java.util.Optional;

/**
 * The id of a workflow: the text of 16 hexadecimal digits that its caller chose.
 *
 * <p>Two ids that differ only in the case of a digit identify two workflows. Immutable. Rejects
 * nulls.
 */
public final class WorkflowId implements Comparable<WorkflowId> {
  /** The number of digits. */
  public static final int LENGTH = 16;

  private static final int RADIX = 16;

  private final String text;

  private WorkflowId(String text) {
    this.text = text;
  }

  /**
   * Returns the id with the text.
   *
   * @throws IllegalArgumentException if the text is not 16 hexadecimal digits
   */
  public static WorkflowId of(String text) {
    checkArgument(isId(text), "not an id of %s hexadecimal digits: %s", LENGTH, text);
    return new WorkflowId(text);
  }

  /** Returns the id with the text, or empty if the text is not 16 hexadecimal digits. */
  public static Optional<WorkflowId> parse(String text) {
    return isId(text) ? Optional.of(new WorkflowId(text)) : Optional.empty();
  }

  private static boolean isId(String text) {
    requireNonNull(text, "text");
    if (text.length() != LENGTH) {
      return false;
    }
    for (int i = 0; i < LENGTH; i++) {
      if (!isDigit(text.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isDigit(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || isUpperCaseDigit(c);
  }

  private static boolean isUpperCaseDigit(char c) {
    return c >= 'A' && c <= 'F';
  }

  /**
   * Returns the partition of the workflow, from 0 to {@code partitions - 1}.
   *
   * <p>Hashes the id, because callers choose ids and may choose consecutive ones. Ignores the case
   * of the digits: versions that did not distinguish it have stored their records in this
   * partition.
   */
  public int partition(int partitions) {
    checkArgument(partitions > 0, "partitions is not positive: %s", partitions);
    long digits = Long.parseUnsignedLong(text, RADIX);
    return Math.floorMod(Hashing.murmur3_32_fixed().hashLong(digits).asInt(), partitions);
  }

  /** Returns whether a digit is in upper case. */
  public boolean hasUpperCaseDigits() {
    for (int i = 0; i < LENGTH; i++) {
      if (isUpperCaseDigit(text.charAt(i))) {
        return true;
      }
    }
    return false;
  }

  /** Returns the id with all its digits in lower case. */
  public WorkflowId toLowerCase() {
    return hasUpperCaseDigits() ? new WorkflowId(Ascii.toLowerCase(text)) : this;
  }

  /** Compares the texts. */
  @Override
  public int compareTo(WorkflowId other) {
    return text.compareTo(other.text);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof WorkflowId that && text.equals(that.text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  /** Returns the text that the caller chose. */
  @Override
  public String toString() {
    return text;
  }
}
