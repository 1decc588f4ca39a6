package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Sets;

/**
 * The availability zones that an operator has evacuated: no run starts there until the evacuation
 * ends, and runs that have started go on.
 *
 * <p>Processes learn of changes in different order and pass them on to each other; the one with the
 * highest revision holds. Immutable. Rejects nulls.
 *
 * @param revision the position in the operator's records as of which this is known; 0 if unknown
 * @param zones the names of the evacuated zones; names of unknown zones have no effect
 */
public record ZoneEvacuations(long revision, ImmutableSet<String> zones) {
  private static final ZoneEvacuations NONE = new ZoneEvacuations(0, ImmutableSet.of());

  /** Checks the components. */
  public ZoneEvacuations {
    checkArgument(revision >= 0, "revision is negative: %s", revision);
    requireNonNull(zones, "zones");
  }

  /** Returns the evacuations as far as known to a process that has read nothing yet: none. */
  public static ZoneEvacuations none() {
    return NONE;
  }

  /** Returns whether no run may start in the zone. */
  public boolean includes(String zone) {
    return zones.contains(requireNonNull(zone, "zone"));
  }

  /** Returns the evacuations with that of one more zone. */
  public ZoneEvacuations with(String zone) {
    checkArgument(!zone.isEmpty(), "zone is empty");
    return new ZoneEvacuations(
        revision, ImmutableSortedSet.copyOf(Sets.union(zones, ImmutableSet.of(zone))));
  }

  /** Returns the evacuations after the end of that of the zone, if there is one. */
  public ZoneEvacuations without(String zone) {
    return new ZoneEvacuations(
        revision, ImmutableSortedSet.copyOf(Sets.difference(zones, ImmutableSet.of(zone))));
  }

  /** Returns the same evacuations as of another revision. */
  public ZoneEvacuations asOf(long newRevision) {
    return new ZoneEvacuations(newRevision, zones);
  }

  /** Returns whether this replaces the other one, which is as of an earlier revision. */
  public boolean replaces(ZoneEvacuations other) {
    return revision > other.revision;
  }
}
