package io.marigoldsail.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Who an entry is.
 *
 * @param name its name in the settings
 * @param incarnation this process's own number; a later process has a higher one
 */
public record EntryIdentity(String name, long incarnation) {
  /** Checks the components. */
  public EntryIdentity {
    checkArgument(!name.isEmpty(), "name is empty");
  }
}
