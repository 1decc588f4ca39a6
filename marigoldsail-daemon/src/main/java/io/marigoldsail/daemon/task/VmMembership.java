package io.marigoldsail.daemon.task;

import io.marigoldsail.error.Result;
import io.marigoldsail.job.EntryState;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.job.VmDescription;
import io.marigoldsail.job.VmState;
import io.marigoldsail.lease.ConfirmationLedger;
import io.marigoldsail.lease.LeaseTerms;
import io.marigoldsail.membership.EntryIdentity;
import io.marigoldsail.protocol.AskVouch;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.protocol.Vouch;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * One entry's part in keeping VMs: lets them join, vouches for them by heartbeats read back,
 * revokes those that no entry hears, and clears them once their leases are surely over.
 */
final class VmMembership {
  private static final long HEARTBEAT_MILLIS = 1_000;
  private static final long REACHABLE_MILLIS = 3_000;
  private static final long ENTRY_ALIVE_MILLIS = 5_000;
  private static final long APPEND_RETRY_MILLIS = 2_000;

  /** Entries of higher rank wait longer before they revoke or clear, so that mostly one writes. */
  private static final long RANK_DELAY_MILLIS = 300;

  /** Where a VM's side process is and what it last said. */
  record Contact(
      String peer,
      ConfirmationLedger.Request request,
      boolean draining,
      long reachableUntil,
      long unresponsiveAt) {}

  private record EntryActivity(long lastHeartbeat, long aliveUntil) {}

  private final EntryContext context;
  private final ConfirmationLedger ledger = new ConfirmationLedger();
  private final Map<String, Contact> contacts = new HashMap<>();
  private final Map<String, Long> confirmedProcess = new HashMap<>();
  private final Map<Long, Long> revocationDue = new HashMap<>();
  private final Map<Long, Long> revocationReadAt = new HashMap<>();
  private final Map<String, Long> retryNotBefore = new HashMap<>();
  private final Map<String, EntryActivity> entries = new HashMap<>();
  private final Consumer<String> onFirstConfirmation;
  private long nextHeartbeat;

  /**
   * Creates a watch that has heard nothing yet.
   *
   * @param onFirstVouch told the VM's name when its side process is vouched to for the first time
   */
  VmMembership(EntryContext context, Consumer<String> onFirstVouch) {
    this.context = context;
    this.onFirstConfirmation = onFirstVouch;
    this.nextHeartbeat = context.nanos();
  }

  void onConfirmationRequest(String peer, AskVouch message) {
    ConfirmationLedger.Request ask =
        new ConfirmationLedger.Request(
            message.getVm(),
            message.getBootIncarnation(),
            message.getProcessIncarnation(),
            message.getAskedNanos());
    ledger.recordRequest(ask);
    long silence = context.policy().leases().silenceMillis();
    contacts.put(
        ask.vm(),
        new Contact(
            peer,
            ask,
            message.getLeaving(),
            context.deadlineAfterMillis(REACHABLE_MILLIS),
            context.deadlineAfterMillis(silence)));
    Optional<VmState> vm = context.table().vm(ask.vm());
    boolean joined =
        vm.isPresent() && vm.get().description().bootIncarnation() == ask.bootIncarnation();
    if (!joined && allowAppend("join " + ask.vm() + " " + ask.bootIncarnation())) {
      join(message);
    }
  }

  void tick() {
    if (context.hasPassed(nextHeartbeat)) {
      nextHeartbeat = context.deadlineAfterMillis(HEARTBEAT_MILLIS);
      updateEntryActivity();
      heartbeat();
      List<VmState> vms = context.table().vms();
      revokeUnreachable(vms);
      clearRevoked(vms);
      removeStale(vms);
    }
  }

  /**
   * Returns the contact of a VM that this entry hears and has vouched to since its process began.
   */
  Optional<Contact> confirmedContact(String vm) {
    Contact contact = contacts.get(vm);
    if (contact == null || context.hasPassed(contact.unresponsiveAt())) {
      return Optional.empty();
    }
    Long process = confirmedProcess.get(vm);
    boolean current = process != null && process == contact.request().processIncarnation();
    return current ? Optional.of(contact) : Optional.empty();
  }

  /** Returns whether a VM may be given new tasks: heard by this entry and not leaving. */
  boolean isSchedulable(String vm) {
    Contact contact = contacts.get(vm);
    return contact != null && !contact.draining() && !context.hasPassed(contact.reachableUntil());
  }

  /** Returns the entries that have written a heartbeat lately, this one included, by name. */
  List<String> liveEntries() {
    TreeSet<String> live = new TreeSet<>();
    live.add(context.identity().name());
    entries.forEach(
        (entry, seen) -> {
          if (!context.hasPassed(seen.aliveUntil())) {
            live.add(entry);
          }
        });
    return List.copyOf(live);
  }

  private void join(AskVouch message) {
    Sizes capacity =
        new Sizes(
            message.getMilliProcessors(), message.getMemoryBytes(), message.getAccelerators());
    VmDescription vm =
        new VmDescription(
            message.getVm(),
            message.getBootIncarnation(),
            capacity,
            message.getZone(),
            message.getRack());
    context.append(
        new TaskRecord.VmJoined(vm),
        result -> {
          if (result.isOk()) {
            context.record(Event.of(EventKind.MEMBER_JOINED).withVm(vm.vm()));
          }
        });
  }

  private void heartbeat() {
    Set<String> hears = new HashSet<>();
    contacts.forEach(
        (vm, contact) -> {
          if (!context.hasPassed(contact.reachableUntil())) {
            hears.add(vm);
          }
        });
    Set<String> told = reportedReachable();
    List<String> gained = new ArrayList<>(hears);
    gained.removeAll(told);
    List<String> lost = new ArrayList<>(told);
    lost.removeAll(hears);
    EntryIdentity identity = context.identity();
    // The asks that this heartbeat can bear out are those received before it leaves.
    long number = ledger.recordHeartbeatSent();
    context.append(
        new TaskRecord.Heartbeat(identity.name(), identity.incarnation(), gained, lost),
        result -> onHeartbeatReadBack(number, result));
  }

  private Set<String> reportedReachable() {
    for (EntryState entry : context.table().entries()) {
      boolean same = entry.incarnation() == context.identity().incarnation();
      if (same && entry.entry().equals(context.identity().name())) {
        return entry.heard();
      }
    }
    return Set.of();
  }

  private void onHeartbeatReadBack(long number, Result<Long> result) {
    if (!(result instanceof Result.Ok<Long> ok)) {
      return;
    }
    for (ConfirmationLedger.Request ask : ledger.confirmedBy(number)) {
      Optional<VmState> vm = context.table().vm(ask.vm());
      if (vm.isPresent() && vm.get().description().bootIncarnation() == ask.bootIncarnation()) {
        sendConfirmation(ask, vm.get().registration(), ok.value());
      }
    }
  }

  private void sendConfirmation(ConfirmationLedger.Request ask, long registration, long heartbeat) {
    Contact contact = contacts.get(ask.vm());
    if (contact == null) {
      return;
    }
    Vouch vouch =
        Vouch.newBuilder()
            .setRegistration(registration)
            .setAskedNanos(ask.requestedNanos())
            .setProcessIncarnation(ask.processIncarnation())
            .setHeartbeat(heartbeat)
            .build();
    context.channel().send(contact.peer(), TaskMessage.newBuilder().setVouch(vouch).build());
    Long before = confirmedProcess.put(ask.vm(), ask.processIncarnation());
    if (before == null || before != ask.processIncarnation()) {
      onFirstConfirmation.accept(ask.vm());
    }
  }

  private void updateEntryActivity() {
    for (EntryState entry : context.table().entries()) {
      EntryActivity seen = entries.get(entry.entry());
      if (seen == null || seen.lastHeartbeat() != entry.lastHeartbeat()) {
        long aliveUntil = context.deadlineAfterMillis(ENTRY_ALIVE_MILLIS);
        entries.put(entry.entry(), new EntryActivity(entry.lastHeartbeat(), aliveUntil));
      }
    }
  }

  /**
   * Revokes VMs that no living entry hears. A VM that only this entry does not hear is cut off from
   * this entry alone; its tasks go on, vouched for by the others.
   */
  private void revokeUnreachable(List<VmState> vms) {
    Set<String> heardByOthers = reachableByOthers();
    long silence = context.policy().leases().silenceMillis() + rankDelayMillis();
    for (VmState vm : vms) {
      Contact contact = contacts.get(vm.vm());
      boolean heard = contact != null && !context.hasPassed(contact.reachableUntil());
      if (vm.revoked() || heard || heardByOthers.contains(vm.vm())) {
        revocationDue.remove(vm.registration());
        continue;
      }
      // Counted from when this entry first missed it, so that a starting entry revokes nothing
      // before the VMs have had the time to be heard.
      long revokeAt =
          revocationDue.computeIfAbsent(
              vm.registration(), unused -> context.deadlineAfterMillis(silence));
      if (context.hasPassed(revokeAt) && allowAppend("revoke " + vm.registration())) {
        revoke(vm);
      }
    }
  }

  private void revoke(VmState vm) {
    String reason = "no entry hears it";
    context.append(
        new TaskRecord.VmRevoked(vm.vm(), vm.registration(), reason),
        result -> {
          if (result.isOk()) {
            context.record(Event.of(EventKind.VM_REVOKED).withVm(vm.vm()).withDetail(reason));
          }
        });
  }

  private Set<String> reachableByOthers() {
    Set<String> live = new HashSet<>(liveEntries());
    live.remove(context.identity().name());
    Set<String> heard = new HashSet<>();
    for (EntryState entry : context.table().entries()) {
      if (live.contains(entry.entry())) {
        heard.addAll(entry.heard());
      }
    }
    return heard;
  }

  private void clearRevoked(List<VmState> vms) {
    for (VmState vm : vms) {
      if (!vm.revoked()) {
        continue;
      }
      // This entry has read the revocation by now, perhaps earlier; counting from now is the later,
      // so the safe choice. An entry that starts counts anew.
      long readNanos =
          revocationReadAt.computeIfAbsent(vm.registration(), unused -> context.nanos());
      clear(vm, readNanos);
    }
  }

  private void clear(VmState vm, long readNanos) {
    long longestOver = 0;
    long waitedMillis = (context.nanos() - readNanos) / 1_000_000 - rankDelayMillis();
    for (TaskState task : context.table().tasksOn(vm.registration())) {
      if (waitedMillis >= LeaseTerms.maxRemainingMillis(task.leaseMillis())) {
        longestOver = Math.max(longestOver, task.leaseMillis());
      }
    }
    if (longestOver > 0 && allowAppend("clear " + vm.registration() + " " + longestOver)) {
      context.append(
          new TaskRecord.VmCleared(vm.vm(), vm.registration(), longestOver), result -> {});
    }
  }

  private long rankDelayMillis() {
    int rank = liveEntries().indexOf(context.identity().name());
    return rank * RANK_DELAY_MILLIS;
  }

  /** Returns whether an append of that purpose was not tried a moment ago, and notes it. */
  private boolean allowAppend(String purpose) {
    Long notBefore = retryNotBefore.get(purpose);
    if (notBefore != null && !context.hasPassed(notBefore)) {
      return false;
    }
    retryNotBefore.put(purpose, context.deadlineAfterMillis(APPEND_RETRY_MILLIS));
    return true;
  }

  private void removeStale(List<VmState> vms) {
    Set<Long> registrations = new HashSet<>();
    Set<String> names = new HashSet<>();
    for (VmState vm : vms) {
      registrations.add(vm.registration());
      names.add(vm.vm());
    }
    revocationReadAt.keySet().retainAll(registrations);
    revocationDue.keySet().retainAll(registrations);
    retryNotBefore.values().removeIf(context::hasPassed);
    contacts
        .entrySet()
        .removeIf(
            contact -> {
              boolean gone =
                  context.hasPassed(contact.getValue().unresponsiveAt())
                      && !names.contains(contact.getKey());
              if (gone) {
                ledger.remove(contact.getKey());
                confirmedProcess.remove(contact.getKey());
              }
              return gone;
            });
    Set<String> known = new HashSet<>();
    context.table().entries().forEach(entry -> known.add(entry.entry()));
    entries.keySet().retainAll(known);
  }
}
