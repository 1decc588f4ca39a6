package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * State of a VM's registration, folded from the log up to some position.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param description the registered boot of the VM
 * @param registration the position of the record by which it joined
 * @param revoked whether it gets no new tasks and its leases are not renewed
 * @param booked the total of the claims on it
 * @param tasks number of tasks claimed for it
 */
public record VmState(
    VmDescription description, long registration, boolean revoked, Sizes booked, int tasks) {
  /** Checks the components. */
  public VmState {
    requireNonNull(description, "description");
    requireNonNull(booked, "booked");
  }

  /** Returns the VM's name. */
  @JsonIgnore
  public String vm() {
    return description.vm();
  }

  /** Returns the capacity that is not booked. */
  @JsonIgnore
  public Sizes free() {
    return description.capacity().minus(booked);
  }

  VmState withClaim(Sizes sizes) {
    return new VmState(description, registration, revoked, booked.plus(sizes), tasks + 1);
  }

  VmState withoutClaim(Sizes sizes) {
    return new VmState(description, registration, revoked, booked.minus(sizes), tasks - 1);
  }

  VmState asRevoked() {
    return new VmState(description, registration, true, booked, tasks);
  }
}
