package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * Makes the ids of one process's entries: {@code PROCESS/INCARNATION/SEQUENCE}, such as {@code
 * entry-1/5f3a9c/17}.
 *
 * <p>The sequence rises with each id, which is what lets readers tell a late copy from a new entry.
 * Not safe for use by several threads at once; {@link LogAppender} guards it. The incarnation must
 * differ between two lives of a process: after a restart with the same one, readers would drop all
 * that the new life appends.
 */
public final class EntryIdGenerator {
  /** The parts of an id that matter to readers. */
  record Parts(String writerId, long sequence) {}

  private static final int HEX_RADIX = 16;

  private final String writerId;
  private long lastSequence;

  private EntryIdGenerator(String writer) {
    this.writerId = writer;
  }

  /**
   * Returns a generator whose first id has the sequence number 1.
   *
   * @param process the process's name, without a slash
   * @param incarnation this life of the process, such as a random number
   */
  public static EntryIdGenerator of(String process, long incarnation) {
    checkArgument(!process.isEmpty() && process.indexOf('/') < 0, "bad process name: %s", process);
    return new EntryIdGenerator(process + "/" + Long.toUnsignedString(incarnation, HEX_RADIX));
  }

  /** Returns what all ids of this generator start with, without the last slash. */
  public String writerId() {
    return writerId;
  }

  /** Returns the next id. */
  public String next() {
    lastSequence++;
    return writerId + "/" + lastSequence;
  }

  /** Returns the parts of an id, or empty if it is none. */
  static Optional<Parts> parse(String id) {
    int slash = id.lastIndexOf('/');
    if (slash <= 0 || slash == id.length() - 1) {
      return Optional.empty();
    }
    long sequence = 0;
    for (int i = slash + 1; i < id.length(); i++) {
      int digit = id.charAt(i) - '0';
      if (digit < 0 || digit > 9 || sequence > (Long.MAX_VALUE - digit) / 10) {
        return Optional.empty();
      }
      sequence = sequence * 10 + digit;
    }
    return Optional.of(new Parts(id.substring(0, slash), sequence));
  }
}
