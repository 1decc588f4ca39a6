package io.marigoldsail.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.dispatch.TargetState;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The VMs that one entry believes to be there, by their announcements.
 *
 * <p>An announcement counts until its deadline, the silence after it was read. A pure state
 * machine: times are readings of one monotonic clock, in nanoseconds, passed as arguments. Confined
 * to one thread. No method takes or returns null. Cost is logarithmic in the number of VMs, but for
 * the methods that list all.
 */
public final class MemberTable {
  /** How an announcement changed the table. */
  public enum Change {
    /** The VM was not known, or its side process is a new one. */
    JOINED,
    /** The target began to leave. */
    DRAINING,
    /** The same process with other facts: load, address, or taking work again. */
    UPDATED,
    /** Said by a process older than the one known; without effect. */
    STALE
  }

  /**
   * How long the incarnation of a silent VM is remembered, so that its predecessor, thawed, cannot
   * take its place. Bounded, for a VM whose clock went back must be able to come back at all.
   */
  private static final long INCARNATION_RETENTION_NANOS = 60_000_000_000L;

  private record Member(Announcement announcement, long deadline) {}

  private record ExpiredMember(long processIncarnation, long retainedUntil) {}

  private final long timeoutNanos;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final Map<String, ExpiredMember> expiredMembers = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param silenceNanos how long after its last announcement a VM is dropped
   */
  public MemberTable(long silenceNanos) {
    checkArgument(silenceNanos > 0, "silenceNanos is not positive: %s", silenceNanos);
    this.timeoutNanos = silenceNanos;
  }

  /** Takes an announcement read now. */
  public Change update(Announcement announcement, long now) {
    String vm = announcement.vm();
    Member known = members.get(vm);
    // A side process frozen by its VM and woken after its successor started still announces itself.
    // Taking that would send requests to an address that may be dead, and start the successor
    // slowly again and again; incarnations only grow, so the older voice is told from the newer.
    if (announcement.processIncarnation() < highestIncarnation(vm, known)) {
      return Change.STALE;
    }
    expiredMembers.remove(vm);
    members.put(vm, new Member(announcement, now + timeoutNanos));
    if (known == null
        || known.announcement().processIncarnation() != announcement.processIncarnation()) {
      return Change.JOINED;
    }
    if (announcement.draining() && !known.announcement().draining()) {
      return Change.DRAINING;
    }
    return Change.UPDATED;
  }

  /** Drops the VMs whose deadline has passed and returns them, in the order of their names. */
  public List<Announcement> expire(long now) {
    ImmutableList.Builder<Announcement> lost = ImmutableList.builder();
    Iterator<Map.Entry<String, Member>> all = members.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<String, Member> entry = all.next();
      if (entry.getValue().deadline() - now <= 0) {
        Announcement last = entry.getValue().announcement();
        lost.add(last);
        expiredMembers.put(
            entry.getKey(),
            new ExpiredMember(last.processIncarnation(), now + INCARNATION_RETENTION_NANOS));
        all.remove();
      }
    }
    expiredMembers.values().removeIf(former -> former.retainedUntil() - now <= 0);
    return lost.build();
  }

  /**
   * Gives every VM the whole silence anew, for a process that was itself frozen.
   *
   * <p>Without this an entry woken after some seconds finds all deadlines passed, drops every
   * target at once and refuses everything, though their announcements wait in its sockets.
   */
  public void restartTimeouts(long now) {
    members.replaceAll((vm, member) -> new Member(member.announcement(), now + timeoutNanos));
  }

  /** Returns the last announcement of the VM, if it is still there. */
  public Optional<Announcement> member(String vm) {
    return Optional.ofNullable(members.get(vm)).map(Member::announcement);
  }

  /** Returns the last announcements of all VMs, in the order of their names. */
  public List<Announcement> members() {
    return members.values().stream()
        .map(Member::announcement)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the targets as decisions see them, in the order of their VMs' names. */
  public List<TargetState> targets() {
    return members.values().stream()
        .map(Member::announcement)
        .filter(Announcement::hasTarget)
        .map(Announcement::targetState)
        .collect(ImmutableList.toImmutableList());
  }

  private long highestIncarnation(String vm, Member known) {
    if (known != null) {
      return known.announcement().processIncarnation();
    }
    ExpiredMember former = expiredMembers.get(vm);
    return former == null ? Long.MIN_VALUE : former.processIncarnation();
  }
}
