package io.marigoldsail.dispatch;

import io.marigoldsail.admission.FairQueue;

/** A request that an entry has taken and not yet answered. Confined to its scheduler's thread. */
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

  /** Returns the VM that has the request now, or an empty string. */
  String vm() {
    return vm;
  }

  boolean isSent() {
    return !vm.isEmpty();
  }

  /** Returns the VM that failed the last try, or an empty string. */
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
