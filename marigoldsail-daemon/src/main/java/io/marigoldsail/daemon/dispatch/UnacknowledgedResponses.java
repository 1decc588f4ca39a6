package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.dispatch.AttemptId;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * The responses sent on one connection that its entry has not acknowledged yet.
 *
 * <p>An entry reads them in the order in which they were sent, so a count identifies the
 * acknowledged ones.
 */
final class UnacknowledgedResponses {
  /** Beyond this the oldest are dropped: entries of older versions never acknowledge. */
  private static final int MAX_TRACKED = 4_096;

  private final ArrayDeque<AttemptId> ids = new ArrayDeque<>();
  private long removedCount;

  /** Adds a response that was sent. */
  void sent(AttemptId id) {
    ids.add(id);
    if (ids.size() > MAX_TRACKED) {
      ids.remove();
      removedCount++;
    }
  }

  /**
   * Passes the ids of newly acknowledged responses to the consumer.
   *
   * @param count the number of responses that the entry has read on the connection so far
   * @param onAcknowledged receives each id
   * @throws BrokenFrameException if the count is more than were sent
   */
  void acknowledge(long count, Consumer<AttemptId> onAcknowledged) throws BrokenFrameException {
    if (count > removedCount + ids.size()) {
      throw new BrokenFrameException(
          count + " responses acknowledged, only " + (removedCount + ids.size()) + " sent");
    }
    while (removedCount < count) {
      removedCount++;
      onAcknowledged.accept(ids.remove());
    }
  }
}
