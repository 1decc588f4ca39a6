package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hashing;
import java.util.OptionalLong;

/** Ids of workflows: 16 hexadecimal digits as text, a long in memory. */
public final class WorkflowIds {
  private static final int DIGITS = 16;
  private static final int HEX = 16;

  private WorkflowIds() {}

  /** Returns the id as 16 lower-case hexadecimal digits. */
  public static String format(long id) {
    String digits = Long.toHexString(id);
    return "0".repeat(DIGITS - digits.length()) + digits;
  }

  /** Returns the id in the text, or empty if the text is not 16 hexadecimal digits. */
  public static OptionalLong parse(String text) {
    requireNonNull(text, "text");
    if (text.length() != DIGITS || !text.chars().allMatch(WorkflowIds::isHexDigit)) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(Long.parseUnsignedLong(text, HEX));
  }

  /**
   * Returns the partition of the workflow, from 0 to {@code partitions - 1}.
   *
   * <p>Hashes the id, because callers choose ids and may choose consecutive ones.
   */
  public static int partition(long id, int partitions) {
    checkArgument(partitions > 0, "partitions is not positive: %s", partitions);
    return Math.floorMod(Hashing.murmur3_32_fixed().hashLong(id).asInt(), partitions);
  }

  private static boolean isHexDigit(int c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
  }
}
