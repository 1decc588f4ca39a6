package io.marigoldsail.dispatch;

/**
 * The identifier of one attempt between an entry and a side process. Never reused.
 *
 * @param entryIncarnation incarnation of the entry
 * @param sequence number of the attempt, assigned when it is sent and increasing within the
 *     incarnation
 */
public record AttemptId(long entryIncarnation, long sequence) {
  @Override
  public String toString() {
    return Long.toHexString(entryIncarnation) + "-" + sequence;
  }
}
