package io.marigoldsail.dispatch;

import io.marigoldsail.admission.FairQueue;

/**
 * A request that the entry accepted and has not answered yet. Confined to its scheduler's thread.
 */
final class HeldRequest {
  private final Arrival arrival;
  private FairQueue.Ticket<HeldRequest> ticket;
  private int tries;
  private String vm = "";
  private String failedVm = "";
  private long sentAt;

  HeldRequest(Arrival arrival) {
    this.arrival = arrival;
  }

  Arrival arrival() {
    return arrival;
  }

  long number() {
    return arrival.request();
  }

  int tries() {
    return tries;
  }

  /** Returns the VM of the attempt in flight, or an empty string if there is none. */
  String vm() {
    return vm;
  }

  boolean isSent() {
    return !vm.isEmpty();
  }

  /** Returns the VM of the last ended attempt, or an empty string if there was none. */
  String failedVm() {
    return failedVm;
  }

  long sentAt() {
    return sentAt;
  }

  FairQueue.Ticket<HeldRequest> ticket() {
    return ticket;
  }

  void queued(FairQueue.Ticket<HeldRequest> newTicket) {
    ticket = newTicket;
  }

  void sent(String toVm, long now) {
    vm = toVm;
    sentAt = now;
    tries++;
  }

  void attemptEnded() {
    failedVm = vm;
    vm = "";
  }
}
