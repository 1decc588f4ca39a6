package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A VM's registration as folded from the log up to some position.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param description the VM
 * @param registration the position where it joined
 * @param revoked whether it gets nothing new and its leases run out
 * @param booked what claims on it take up
 * @param tasks how many tasks are claimed for it
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

  /** Returns the room that is left. */
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
