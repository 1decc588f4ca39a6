package io.marigoldsail.daemon.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * What the durable store takes at most: the one definition of it, from the settings, for those who
 * make records as for the one who sends them. Immutable.
 *
 * @param recordBytes the maximum length of a record with its key, in bytes
 * @param callBytes the maximum length of the records of one append together, in bytes
 */
public record StoreLimits(int recordBytes, int callBytes) {
  /** The limits of a store that tells none. */
  public static final StoreLimits DEFAULT = new StoreLimits(256 * 1024, 2 * 1024 * 1024);

  /** The smallest limit of a record by which any legal workflow can be kept, in parts. */
  public static final int MIN_RECORD_BYTES = 16 * 1024;

  /** The length of a key precedes it. */
  private static final int KEY_LENGTH_BYTES = 1;

  /** The length of a record precedes it in an append. */
  private static final int RECORD_LENGTH_BYTES = 4;

  private static final int MAX_KEY_BYTES = 255;

  /** Checks the components. */
  public StoreLimits {
    checkArgument(
        recordBytes >= MIN_RECORD_BYTES,
        "a record of %s bytes is less than the %s that are needed",
        recordBytes,
        MIN_RECORD_BYTES);
    checkArgument(
        callBytes >= recordBytes + RECORD_LENGTH_BYTES,
        "an append of %s bytes cannot hold a record of %s",
        callBytes,
        recordBytes);
  }

  /** Returns how many bytes a value may have under a key. */
  public int maxValueBytes(String key) {
    int keyBytes = key.getBytes(UTF_8).length;
    checkArgument(keyBytes <= MAX_KEY_BYTES, "key is longer than %s bytes", MAX_KEY_BYTES);
    return recordBytes - KEY_LENGTH_BYTES - keyBytes;
  }

  /** Returns the part of an append that a record takes, in bytes. */
  public static int bytesInCall(String key, int valueBytes) {
    return RECORD_LENGTH_BYTES + KEY_LENGTH_BYTES + key.getBytes(UTF_8).length + valueBytes;
  }
}
