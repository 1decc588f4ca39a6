package io.marigoldsail.daemon.configuration;

import static java.util.Objects.requireNonNull;

/**
 * What one live process said last of the configuration that is in force in it.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param process the process's name
 * @param role {@code entry} or {@code side}
 * @param revision the revision in force there
 */
public record ProcessRevision(String process, String role, long revision) {
  /** Checks the components. */
  public ProcessRevision {
    requireNonNull(process, "process");
    requireNonNull(role, "role");
  }
}
