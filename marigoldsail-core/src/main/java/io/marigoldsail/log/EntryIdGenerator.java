package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * Generates the ids of the entries of one process: {@code PROCESS/INCARNATION/SEQUENCE}, such as
 * {@code entry-1/5f3a9c/17}.
 *
 * <p>The sequence number increases with each id, so that readers can distinguish a late duplicate
 * from a new entry. Each start of a process needs its own incarnation: with a reused one, readers
 * would drop all entries of the new process as duplicates. Not thread-safe; guarded by {@link
 * LogAppender}.
 */
public final class EntryIdGenerator {
  /** The parts of an id that readers use. */
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
   * @param incarnation the incarnation of the process, such as a random number
   */
  public static EntryIdGenerator of(String process, long incarnation) {
    checkArgument(
        !process.isEmpty() && process.indexOf('/') < 0,
        "process name is empty or contains a slash: %s",
        process);
    return new EntryIdGenerator(process + "/" + Long.toUnsignedString(incarnation, HEX_RADIX));
  }

  /** Returns the common prefix of all ids of this generator, without the last slash. */
  public String writerId() {
    return writerId;
  }

  /** Returns the next id. */
  public String next() {
    lastSequence++;
    return writerId + "/" + lastSequence;
  }

  /** Returns the parts of an id, or empty if the text is not an id. */
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
