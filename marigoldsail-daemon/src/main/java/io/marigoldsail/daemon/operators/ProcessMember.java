package io.marigoldsail.daemon.operators;

import static java.util.Objects.requireNonNull;

/**
 * One live process as operators see it, and what it said last of the configuration.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param process the process's name
 * @param role {@code entry} or {@code side}
 * @param zone its availability zone
 * @param operatorsAddress where operators reach it, host:port; empty if it never said
 * @param revision the configuration revision in force there
 * @param draining whether it announced that it leaves
 */
public record ProcessMember(
    String process,
    String role,
    String zone,
    String operatorsAddress,
    long revision,
    boolean draining) {
  /** Checks the components. */
  public ProcessMember {
    requireNonNull(process, "process");
    requireNonNull(role, "role");
    requireNonNull(zone, "zone");
    requireNonNull(operatorsAddress, "operatorsAddress");
  }
}
