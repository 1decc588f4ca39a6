package io.marigoldsail.daemon.frames;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import java.util.List;

/** Limits the elements of a list in a message by their size. Stateless. */
public final class MessageBudget {
  private MessageBudget() {}

  /**
   * Returns the first elements that fit, until one does not.
   *
   * @param field the number of the list's field
   * @param maxBytes the maximum of their lengths in the message together
   */
  public static <T extends MessageLite> ImmutableList<T> take(
      List<T> elements, int field, int maxBytes) {
    ImmutableList.Builder<T> taken = ImmutableList.builder();
    int bytes = 0;
    for (T each : elements) {
      bytes += CodedOutputStream.computeMessageSize(field, each);
      if (bytes > maxBytes) {
        break;
      }
      taken.add(each);
    }
    return taken.build();
  }
}
