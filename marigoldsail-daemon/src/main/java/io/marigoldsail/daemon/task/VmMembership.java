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
 * Manages the registrations of VMs on behalf of an entry: writes their joins, confirms them by
 * heartbeats read back from the log, revokes those that no entry reaches, and clears them once
 * their leases must have expired.
 *
 * <p>Not thread-safe; runs under the lock of {@link EntryTaskScheduler}.
 */
final class VmMembership {
  private static final long HEARTBEAT_MILLIS = 1_000;

  /** Time for which a VM counts as reachable after a request of its side process. */
  private static final long REACHABLE_MILLIS = 3_000;

  /** Time for which an entry counts as alive after a heartbeat was read. */
  private static final long ENTRY_ALIVE_MILLIS = 5_000;

  private static final long APPEND_RETRY_MILLIS = 2_000;

  /**
   * Additional delay for each rank of an entry before it revokes or clears a VM, so that usually
   * only the entry of the lowest rank writes the record.
   */
  private static final long RANK_DELAY_MILLIS = 300;

  /**
   * Last request of a VM's side process.
   *
   * @param peer the side process as the channel names it
   * @param request the request
   * @param draining whether the VM takes no new tasks
   * @param reachableUntil the time until which the VM counts as reachable
   * @param unresponsiveAt the time from which the side process counts as unresponsive
   */
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
   * Creates an instance that has received nothing yet.
   *
   * @param onFirstConfirmation receives the VM's name when its side process is confirmed for the
   *     first time
   */
  VmMembership(EntryContext context, Consumer<String> onFirstConfirmation) {
    this.context = context;
    this.onFirstConfirmation = onFirstConfirmation;
    this.nextHeartbeat = context.nanos();
  }

  void onConfirmationRequest(String peer, AskVouch message) {
    ConfirmationLedger.Request request =
        new ConfirmationLedger.Request(
            message.getVm(),
            message.getBootIncarnation(),
            message.getProcessIncarnation(),
            message.getAskedNanos());
    ledger.recordRequest(request);
    long silence = context.policy().leases().silenceMillis();
    contacts.put(
        request.vm(),
        new Contact(
            peer,
            request,
            message.getLeaving(),
            context.deadlineAfterMillis(REACHABLE_MILLIS),
            context.deadlineAfterMillis(silence)));
    Optional<VmState> vm = context.table().vm(request.vm());
    boolean joined =
        vm.isPresent() && vm.get().description().bootIncarnation() == request.bootIncarnation();
    if (!joined && allowAppend("join " + request.vm() + " " + request.bootIncarnation())) {
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
   * Returns the contact of a VM that is responsive and whose current side process this entry has
   * confirmed.
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

  /** Returns whether a VM may get new tasks: reachable from this entry and not draining. */
  boolean isSchedulable(String vm) {
    Contact contact = contacts.get(vm);
    return contact != null && !contact.draining() && !context.hasPassed(contact.reachableUntil());
  }

  /** Returns the sorted names of the entries with a recent heartbeat, and of this entry. */
  List<String> liveEntries() {
    TreeSet<String> live = new TreeSet<>();
    live.add(context.identity().name());
    entries.forEach(
        (entry, activity) -> {
          if (!context.hasPassed(activity.aliveUntil())) {
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
    Set<String> reachable = new HashSet<>();
    contacts.forEach(
        (vm, contact) -> {
          if (!context.hasPassed(contact.reachableUntil())) {
            reachable.add(vm);
          }
        });
    Set<String> reported = reportedReachable();
    List<String> gained = new ArrayList<>(reachable);
    gained.removeAll(reported);
    List<String> lost = new ArrayList<>(reported);
    lost.removeAll(reachable);
    EntryIdentity identity = context.identity();
    // This heartbeat can confirm only the requests received before it is sent.
    long number = ledger.recordHeartbeatSent();
    context.append(
        new TaskRecord.Heartbeat(identity.name(), identity.incarnation(), gained, lost),
        result -> onHeartbeatReadBack(number, result));
  }

  private Set<String> reportedReachable() {
    for (EntryState entry : context.table().entries()) {
      boolean sameIncarnation = entry.incarnation() == context.identity().incarnation();
      if (sameIncarnation && entry.entry().equals(context.identity().name())) {
        return entry.heard();
      }
    }
    return Set.of();
  }

  private void onHeartbeatReadBack(long number, Result<Long> result) {
    if (!(result instanceof Result.Ok<Long> ok)) {
      return;
    }
    for (ConfirmationLedger.Request request : ledger.confirmedBy(number)) {
      Optional<VmState> vm = context.table().vm(request.vm());
      if (vm.isPresent() && vm.get().description().bootIncarnation() == request.bootIncarnation()) {
        sendConfirmation(request, vm.get().registration(), ok.value());
      }
    }
  }

  private void sendConfirmation(
      ConfirmationLedger.Request request, long registration, long heartbeat) {
    Contact contact = contacts.get(request.vm());
    if (contact == null) {
      return;
    }
    Vouch confirmation =
        Vouch.newBuilder()
            .setRegistration(registration)
            .setAskedNanos(request.requestedNanos())
            .setProcessIncarnation(request.processIncarnation())
            .setHeartbeat(heartbeat)
            .build();
    context.channel().send(contact.peer(), TaskMessage.newBuilder().setVouch(confirmation).build());
    Long before = confirmedProcess.put(request.vm(), request.processIncarnation());
    if (before == null || before != request.processIncarnation()) {
      onFirstConfirmation.accept(request.vm());
    }
  }

  private void updateEntryActivity() {
    for (EntryState entry : context.table().entries()) {
      EntryActivity activity = entries.get(entry.entry());
      if (activity == null || activity.lastHeartbeat() != entry.lastHeartbeat()) {
        long aliveUntil = context.deadlineAfterMillis(ENTRY_ALIVE_MILLIS);
        entries.put(entry.entry(), new EntryActivity(entry.lastHeartbeat(), aliveUntil));
      }
    }
  }

  /**
   * Revokes VMs that no live entry reaches. A VM that only this entry does not reach keeps its
   * registration, because the other entries confirm it.
   */
  private void revokeUnreachable(List<VmState> vms) {
    Set<String> reachableElsewhere = reachableByOthers();
    long silence = context.policy().leases().silenceMillis() + rankDelayMillis();
    for (VmState vm : vms) {
      Contact contact = contacts.get(vm.vm());
      boolean reachable = contact != null && !context.hasPassed(contact.reachableUntil());
      if (vm.revoked() || reachable || reachableElsewhere.contains(vm.vm())) {
        revocationDue.remove(vm.registration());
        continue;
      }
      // Counted from the time at which this entry first found the VM unreachable, so that an entry
      // that has just started gives the VMs time to connect.
      long revokeAt =
          revocationDue.computeIfAbsent(
              vm.registration(), unused -> context.deadlineAfterMillis(silence));
      if (context.hasPassed(revokeAt) && allowAppend("revoke " + vm.registration())) {
        revoke(vm);
      }
    }
  }

  private void revoke(VmState vm) {
    String reason = "not reachable from any entry";
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
    Set<String> reachable = new HashSet<>();
    for (EntryState entry : context.table().entries()) {
      if (live.contains(entry.entry())) {
        reachable.addAll(entry.heard());
      }
    }
    return reachable;
  }

  private void clearRevoked(List<VmState> vms) {
    for (VmState vm : vms) {
      if (!vm.revoked()) {
        continue;
      }
      // The wait starts when this entry first sees the revocation in its table, which is not before
      // it was read. An entry that restarts waits for the full time again.
      long readNanos =
          revocationReadAt.computeIfAbsent(vm.registration(), unused -> context.nanos());
      clear(vm, readNanos);
    }
  }

  private void clear(VmState vm, long readNanos) {
    long longestExpired = 0;
    long waitedMillis = (context.nanos() - readNanos) / 1_000_000 - rankDelayMillis();
    for (TaskState task : context.table().tasksOn(vm.registration())) {
      if (waitedMillis >= LeaseTerms.maxRemainingMillis(task.leaseMillis())) {
        longestExpired = Math.max(longestExpired, task.leaseMillis());
      }
    }
    if (longestExpired > 0 && allowAppend("clear " + vm.registration() + " " + longestExpired)) {
      context.append(
          new TaskRecord.VmCleared(vm.vm(), vm.registration(), longestExpired), result -> {});
    }
  }

  private long rankDelayMillis() {
    int rank = liveEntries().indexOf(context.identity().name());
    return rank * RANK_DELAY_MILLIS;
  }

  /** Returns whether no append of that purpose was made recently, and if so records this one. */
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
              boolean removed =
                  context.hasPassed(contact.getValue().unresponsiveAt())
                      && !names.contains(contact.getKey());
              if (removed) {
                ledger.remove(contact.getKey());
                confirmedProcess.remove(contact.getKey());
              }
              return removed;
            });
    Set<String> known = new HashSet<>();
    context.table().entries().forEach(entry -> known.add(entry.entry()));
    entries.keySet().retainAll(known);
  }
}
