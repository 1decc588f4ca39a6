package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.dispatch.WireId;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * The responses sent on one connection that its entry has not acknowledged yet.
 *
 * <p>An entry reads them in the order in which they were sent, so a count identifies the
 * acknowledged ones.
 */
final class UnreadAnswers {
  /** Beyond this the oldest are dropped: entries of older versions never acknowledge. */
  private static final int MAX_UNREAD = 4_096;

  private final ArrayDeque<WireId> ids = new ArrayDeque<>();
  private long passed;

  /** Adds a response that was sent. */
  void sent(WireId id) {
    ids.add(id);
    if (ids.size() > MAX_UNREAD) {
      ids.remove();
      passed++;
    }
  }

  /**
   * Passes the ids of newly acknowledged responses to the consumer.
   *
   * @param count the number of responses that the entry has read on the connection so far
   * @param onAcknowledged receives each id
   * @throws BrokenFrameException if the count is more than were sent
   */
  void read(long count, Consumer<WireId> onAcknowledged) throws BrokenFrameException {
    if (count > passed + ids.size()) {
      throw new BrokenFrameException(count + " responses acknowledged, only " + (passed + ids.size()) + " sent");
    }
    while (passed < count) {
      passed++;
      onAcknowledged.accept(ids.remove());
    }
  }
}
