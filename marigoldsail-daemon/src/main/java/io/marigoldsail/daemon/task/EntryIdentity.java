package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

/**
 * Which entry this is.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the entry's name
 * @param incarnation this start of it
 */
public record EntryIdentity(String name, long incarnation) {
  /** Checks the components. */
  public EntryIdentity {
    requireNonNull(name, "name");
  }
}
