package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import java.util.TreeSet;

/**
 * State of an entry, computed from its heartbeats.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param entry the entry's name
 * @param incarnation identifies the start of the entry's process
 * @param lastHeartbeat the position of its last heartbeat
 * @param heard the VMs that it reaches, as reported by its heartbeats
 */
public record EntryState(String entry, long incarnation, long lastHeartbeat, Set<String> heard) {
  /** Checks and copies the components. */
  public EntryState {
    requireNonNull(entry, "entry");
    heard = Set.copyOf(heard);
  }

  static EntryState after(EntryState before, TaskRecord.Heartbeat heartbeat, long position) {
    boolean sameIncarnation = before != null && before.incarnation == heartbeat.incarnation();
    Set<String> heard = sameIncarnation ? new TreeSet<>(before.heard) : new TreeSet<>();
    heard.removeAll(heartbeat.lost());
    heard.addAll(heartbeat.gained());
    return new EntryState(heartbeat.entry(), heartbeat.incarnation(), position, heard);
  }
}
