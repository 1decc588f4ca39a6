package io.marigoldsail.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identity of an entry process.
 *
 * @param name the name in its settings
 * @param incarnation the incarnation of this process; a later process has a higher one
 */
public record EntryIdentity(String name, long incarnation) {
  /** Checks the components. */
  public EntryIdentity {
    checkArgument(!name.isEmpty(), "name is empty");
  }
}
