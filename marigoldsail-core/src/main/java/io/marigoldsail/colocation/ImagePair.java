package io.marigoldsail.colocation;

import static java.util.Objects.requireNonNull;

/**
 * An image of best-effort tasks and an image of service tasks. Immutable. Rejects nulls.
 *
 * @param bestEffort the image of the tasks that interfere
 * @param service the image of the tasks that they interfere with
 */
public record ImagePair(String bestEffort, String service) {
  /** Checks the components. */
  public ImagePair {
    requireNonNull(bestEffort, "bestEffort");
    requireNonNull(service, "service");
  }

  /** Returns the most bytes that the names take in a message. */
  public int nameBytes() {
    return RecentEvidence.bytesOf(bestEffort) + RecentEvidence.bytesOf(service);
  }
}
