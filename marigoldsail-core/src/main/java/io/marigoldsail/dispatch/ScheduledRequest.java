package io.marigoldsail.dispatch;

import io.marigoldsail.admission.FairQueue;

/**
 * A request that the entry accepted and has not answered yet. Confined to its scheduler's thread.
 */
final class ScheduledRequest {
  private final Arrival arrival;
  private FairQueue.Ticket<ScheduledRequest> ticket;
  private int attempts;
  private String vm = "";
  private String failedVm = "";
  private long sentAt;

  ScheduledRequest(Arrival arrival) {
    this.arrival = arrival;
  }

  Arrival arrival() {
    return arrival;
  }

  long number() {
    return arrival.request();
  }

  int attempts() {
    return attempts;
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

  FairQueue.Ticket<ScheduledRequest> ticket() {
    return ticket;
  }

  void setTicket(FairQueue.Ticket<ScheduledRequest> newTicket) {
    ticket = newTicket;
  }

  void sent(String toVm, long now) {
    vm = toVm;
    sentAt = now;
    attempts++;
  }

  void attemptEnded() {
    failedVm = vm;
    vm = "";
  }
}
