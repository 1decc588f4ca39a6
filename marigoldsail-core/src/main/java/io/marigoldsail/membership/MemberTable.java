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
 * The VMs that one entry considers alive, from their announcements.
 *
 * <p>An announcement is valid until its deadline, a timeout after it was received. A pure state
 * machine: times are readings of one monotonic clock, in nanoseconds, passed as arguments. Confined
 * to one thread. No method accepts or returns null. Cost is logarithmic in the number of VMs, and
 * linear for the methods that list all.
 */
public final class MemberTable {
  /** Effect of an announcement on the table. */
  public enum Change {
    /** The VM was unknown, or its side process was replaced by a new one. */
    JOINED,
    /** The target started draining. */
    DRAINING,
    /** Other data of the same process changed: load, address, or accepting requests again. */
    UPDATED,
    /** The announcement is from an older process than the known one and was ignored. */
    STALE
  }

  /**
   * How long the incarnation of an expired VM is kept, so that a paused predecessor that resumes
   * cannot take its place. Limited, so that a VM whose clock was set back can join again.
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
   * @param timeoutNanos how long after its last announcement a VM expires, in nanoseconds
   */
  public MemberTable(long timeoutNanos) {
    checkArgument(timeoutNanos > 0, "timeoutNanos is not positive: %s", timeoutNanos);
    this.timeoutNanos = timeoutNanos;
  }

  /** Applies an announcement received now. */
  public Change update(Announcement announcement, long now) {
    String vm = announcement.vm();
    Member known = members.get(vm);
    // A side process that was paused with its VM may resume after its successor started and
    // announce itself. Accepting this would send requests to an address that may be unreachable,
    // and restart the slow start of the successor each time. Incarnations only increase.
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

  /** Removes the VMs whose deadline has passed and returns their last announcements, by VM name. */
  public List<Announcement> expire(long now) {
    ImmutableList.Builder<Announcement> expiredNow = ImmutableList.builder();
    Iterator<Map.Entry<String, Member>> all = members.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<String, Member> entry = all.next();
      if (entry.getValue().deadline() - now <= 0) {
        Announcement last = entry.getValue().announcement();
        expiredNow.add(last);
        expiredMembers.put(
            entry.getKey(),
            new ExpiredMember(last.processIncarnation(), now + INCARNATION_RETENTION_NANOS));
        all.remove();
      }
    }
    expiredMembers.values().removeIf(expired -> expired.retainedUntil() - now <= 0);
    return expiredNow.build();
  }

  /**
   * Restarts the timeout of every VM, for a process that was itself paused.
   *
   * <p>After a pause of some seconds all deadlines have passed while the announcements are still
   * unread in the sockets. Without this the process would drop every target at once and refuse all
   * requests.
   */
  public void restartTimeouts(long now) {
    members.replaceAll((vm, member) -> new Member(member.announcement(), now + timeoutNanos));
  }

  /** Returns the last announcement of the VM, unless it has expired. */
  public Optional<Announcement> member(String vm) {
    return Optional.ofNullable(members.get(vm)).map(Member::announcement);
  }

  /** Returns the last announcements of all VMs, by VM name. */
  public List<Announcement> members() {
    return members.values().stream()
        .map(Member::announcement)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the targets' states for dispatch decisions, by VM name. */
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
    ExpiredMember expired = expiredMembers.get(vm);
    return expired == null ? Long.MIN_VALUE : expired.processIncarnation();
  }
}
