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
 * heartbeats read back from the log, revokes those that no entry reaches, and clears them once their
 * leases must have expired.
 *
 * <p>Not thread-safe; runs under the lock of {@link EntryTasks}.
 */
final class VmWatch {
  private static final long HEARTBEAT_MILLIS = 1_000;

  /** Time for which a VM counts as reachable after a request of its side process. */
  private static final long HEARD_MILLIS = 3_000;

  /** Time for which an entry counts as alive after a heartbeat was read. */
  private static final long ENTRY_ALIVE_MILLIS = 5_000;

  private static final long APPEND_AGAIN_MILLIS = 2_000;

  /**
   * Additional delay for each rank of an entry before it revokes or clears a VM, so that usually only
   * the entry of the lowest rank writes the record.
   */
  private static final long RANK_DELAY_MILLIS = 300;

  /**
   * Last request of a VM's side process.
   *
   * @param peer the side process as the channel names it
   * @param ask the request
   * @param leaving whether the VM takes no new tasks
   * @param heardUntil the time until which the VM counts as reachable
   * @param silentAt the time from which the side process counts as unresponsive
   */
  record Contact(
      String peer,
      ConfirmationLedger.Request ask,
      boolean leaving,
      long heardUntil,
      long silentAt) {}

  private record Seen(long heartbeat, long aliveUntil) {}

  private final EntryContext context;
  private final ConfirmationLedger ledger = new ConfirmationLedger();
  private final Map<String, Contact> contacts = new HashMap<>();
  private final Map<String, Long> vouchedProcess = new HashMap<>();
  private final Map<Long, Long> unheardSince = new HashMap<>();
  private final Map<Long, Long> revokedSince = new HashMap<>();
  private final Map<String, Long> notAgainBefore = new HashMap<>();
  private final Map<String, Seen> entries = new HashMap<>();
  private final Consumer<String> onFirstVouch;
  private long nextHeartbeat;

  /**
   * Creates an instance that has received nothing yet.
   *
   * @param onFirstVouch receives the VM's name when its side process is confirmed for the first time
   */
  VmWatch(EntryContext context, Consumer<String> onFirstVouch) {
    this.context = context;
    this.onFirstVouch = onFirstVouch;
    this.nextHeartbeat = context.nanos();
  }

  void onAsk(String peer, AskVouch message) {
    ConfirmationLedger.Request request =
        new ConfirmationLedger.Request(
            message.getVm(),
            message.getBootIncarnation(),
            message.getProcessIncarnation(),
            message.getAskedNanos());
    ledger.recordRequest(request);
    long silence = context.terms().leases().silenceMillis();
    contacts.put(
        request.vm(),
        new Contact(
            peer,
            request,
            message.getLeaving(),
            context.afterMillis(HEARD_MILLIS),
            context.afterMillis(silence)));
    Optional<VmState> vm = context.table().vm(request.vm());
    boolean joined =
        vm.isPresent() && vm.get().description().bootIncarnation() == request.bootIncarnation();
    if (!joined && mayAppend("join " + request.vm() + " " + request.bootIncarnation())) {
      join(message);
    }
  }

  void tick() {
    if (context.passed(nextHeartbeat)) {
      nextHeartbeat = context.afterMillis(HEARTBEAT_MILLIS);
      noteEntries();
      heartbeat();
      List<VmState> vms = context.table().vms();
      revokeSilent(vms);
      clearRevoked(vms);
      forgetOld(vms);
    }
  }

  /**
   * Returns the contact of a VM that is responsive and whose current side process this entry has
   * confirmed.
   */
  Optional<Contact> vouched(String vm) {
    Contact contact = contacts.get(vm);
    if (contact == null || context.passed(contact.silentAt())) {
      return Optional.empty();
    }
    Long process = vouchedProcess.get(vm);
    boolean current = process != null && process == contact.ask().processIncarnation();
    return current ? Optional.of(contact) : Optional.empty();
  }

  /** Returns whether a VM may get new tasks: reachable from this entry and not draining. */
  boolean usable(String vm) {
    Contact contact = contacts.get(vm);
    return contact != null && !contact.leaving() && !context.passed(contact.heardUntil());
  }

  /** Returns the sorted names of the entries with a recent heartbeat, and of this entry. */
  List<String> liveEntries() {
    TreeSet<String> live = new TreeSet<>();
    live.add(context.identity().name());
    entries.forEach(
        (entry, activity) -> {
          if (!context.passed(activity.aliveUntil())) {
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
          if (!context.passed(contact.heardUntil())) {
            reachable.add(vm);
          }
        });
    Set<String> reported = toldBefore();
    List<String> gained = new ArrayList<>(reachable);
    gained.removeAll(reported);
    List<String> lost = new ArrayList<>(reported);
    lost.removeAll(reachable);
    EntryIdentity identity = context.identity();
    // This heartbeat can confirm only the requests received before it is sent.
    long number = ledger.recordHeartbeatSent();
    context.append(
        new TaskRecord.Heartbeat(identity.name(), identity.incarnation(), gained, lost),
        result -> readBack(number, result));
  }

  private Set<String> toldBefore() {
    for (EntryState entry : context.table().entries()) {
      boolean sameIncarnation = entry.incarnation() == context.identity().incarnation();
      if (sameIncarnation && entry.entry().equals(context.identity().name())) {
        return entry.heard();
      }
    }
    return Set.of();
  }

  private void readBack(long number, Result<Long> result) {
    if (!(result instanceof Result.Ok<Long> ok)) {
      return;
    }
    for (ConfirmationLedger.Request request : ledger.confirmedBy(number)) {
      Optional<VmState> vm = context.table().vm(request.vm());
      if (vm.isPresent()
          && vm.get().description().bootIncarnation() == request.bootIncarnation()) {
        vouch(request, vm.get().registration(), ok.value());
      }
    }
  }

  private void vouch(ConfirmationLedger.Request request, long registration, long heartbeat) {
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
    Long before = vouchedProcess.put(request.vm(), request.processIncarnation());
    if (before == null || before != request.processIncarnation()) {
      onFirstVouch.accept(request.vm());
    }
  }

  private void noteEntries() {
    for (EntryState entry : context.table().entries()) {
      Seen activity = entries.get(entry.entry());
      if (activity == null || activity.heartbeat() != entry.lastHeartbeat()) {
        long aliveUntil = context.afterMillis(ENTRY_ALIVE_MILLIS);
        entries.put(entry.entry(), new Seen(entry.lastHeartbeat(), aliveUntil));
      }
    }
  }

  /**
   * Revokes VMs that no live entry reaches. A VM that only this entry does not reach keeps its
   * registration, because the other entries confirm it.
   */
  private void revokeSilent(List<VmState> vms) {
    Set<String> reachableElsewhere = heardByOthers();
    long silence = context.terms().leases().silenceMillis() + rankDelayMillis();
    for (VmState vm : vms) {
      Contact contact = contacts.get(vm.vm());
      boolean reachable = contact != null && !context.passed(contact.heardUntil());
      if (vm.revoked() || reachable || reachableElsewhere.contains(vm.vm())) {
        unheardSince.remove(vm.registration());
        continue;
      }
      // Counted from the time at which this entry first found the VM unreachable, so that an entry
      // that has just started gives the VMs time to connect.
      long revokeAt =
          unheardSince.computeIfAbsent(vm.registration(), unused -> context.afterMillis(silence));
      if (context.passed(revokeAt) && mayAppend("revoke " + vm.registration())) {
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

  private Set<String> heardByOthers() {
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
      long readNanos = revokedSince.computeIfAbsent(vm.registration(), unused -> context.nanos());
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
    if (longestExpired > 0 && mayAppend("clear " + vm.registration() + " " + longestExpired)) {
      context.append(
          new TaskRecord.VmCleared(vm.vm(), vm.registration(), longestExpired), result -> {});
    }
  }

  private long rankDelayMillis() {
    int rank = liveEntries().indexOf(context.identity().name());
    return rank * RANK_DELAY_MILLIS;
  }

  /** Returns whether no append of that purpose was made recently, and if so records this one. */
  private boolean mayAppend(String purpose) {
    Long notBefore = notAgainBefore.get(purpose);
    if (notBefore != null && !context.passed(notBefore)) {
      return false;
    }
    notAgainBefore.put(purpose, context.afterMillis(APPEND_AGAIN_MILLIS));
    return true;
  }

  private void forgetOld(List<VmState> vms) {
    Set<Long> registrations = new HashSet<>();
    Set<String> names = new HashSet<>();
    for (VmState vm : vms) {
      registrations.add(vm.registration());
      names.add(vm.vm());
    }
    revokedSince.keySet().retainAll(registrations);
    unheardSince.keySet().retainAll(registrations);
    notAgainBefore.values().removeIf(context::passed);
    contacts
        .entrySet()
        .removeIf(
            contact -> {
              boolean removed =
                  context.passed(contact.getValue().silentAt())
                      && !names.contains(contact.getKey());
              if (removed) {
                ledger.remove(contact.getKey());
                vouchedProcess.remove(contact.getKey());
              }
              return removed;
            });
    Set<String> known = new HashSet<>();
    context.table().entries().forEach(entry -> known.add(entry.entry()));
    entries.keySet().retainAll(known);
  }
}
