package io.marigoldsail.daemon.operators;

import static java.util.Objects.requireNonNull;

/**
 * A live process as shown to operators, with the configuration revision that it last reported.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param process the process's name
 * @param role {@code entry} or {@code side}
 * @param zone its availability zone
 * @param operatorsAddress its operators' address, {@code host:port}; empty if not reported
 * @param revision the configuration revision in force in the process
 * @param draining whether it reported that it is draining
 */
public record ProcessMember(
    String process,
    String role,
    String zone,
    String operatorsAddress,
    long revision,
    boolean draining) {
  /** Checks that no component is null. */
  public ProcessMember {
    requireNonNull(process, "process");
    requireNonNull(role, "role");
    requireNonNull(zone, "zone");
    requireNonNull(operatorsAddress, "operatorsAddress");
  }
}
