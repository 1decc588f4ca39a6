package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.dispatch.AttemptId;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * The whole answers sent on one connection of which its entry has not said yet that it read them.
 *
 * <p>They come in the order in which they were sent, so that a count tells which were read.
 */
final class UnacknowledgedResponses {
  /** Beyond it the oldest are not waited for: an entry of an older version never tells. */
  private static final int MAX_TRACKED = 4_096;

  private final ArrayDeque<AttemptId> ids = new ArrayDeque<>();
  private long removedCount;

  /** Notes an answer that was sent. */
  void sent(AttemptId id) {
    ids.add(id);
    if (ids.size() > MAX_TRACKED) {
      ids.remove();
      removedCount++;
    }
  }

  /**
   * Hands on the ids of the answers that were read since the last time.
   *
   * @param count how many were read on the connection so far
   * @throws BrokenFrameException if that is more than were sent
   */
  void acknowledge(long count, Consumer<AttemptId> has) throws BrokenFrameException {
    if (count > removedCount + ids.size()) {
      throw new BrokenFrameException(count + " answers read, fewer sent");
    }
    while (removedCount < count) {
      removedCount++;
      has.accept(ids.remove());
    }
  }
}
