package io.marigoldsail.dispatch;

/**
 * The id of one attempt on the way between an entry and a side process; never used again.
 *
 * @param entryIncarnation the entry's incarnation
 * @param sequence the attempt's number, given when it is sent and growing within the incarnation
 */
public record AttemptId(long entryIncarnation, long sequence) {
  @Override
  public String toString() {
    return Long.toHexString(entryIncarnation) + "-" + sequence;
  }
}
