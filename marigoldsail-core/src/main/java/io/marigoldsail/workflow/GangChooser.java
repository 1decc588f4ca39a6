package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Chooses the VMs for all members of a gang at once, or for none.
 *
 * <p>Load pattern: tasks that work only while all of them are there, on a fleet that is nearly
 * full. Placed one by one, two gangs hold half of their places each and wait for the other half for
 * ever; nothing works, and what waits too long is given up by its worker. So a gang takes its room
 * in one turn or leaves it to others, and members that are slower apart go to one rack that holds
 * them all if there is any.
 *
 * <p>Immutable, and safe for any thread. Takes time in members times VMs, for each rack tried.
 */
public final class GangChooser {
  private final VmChooser chooser;

  private GangChooser(VmChooser chooser) {
    this.chooser = chooser;
  }

  /** Returns a chooser that rates VMs for single members by the one given. */
  public static GangChooser of(VmChooser chooser) {
    return new GangChooser(requireNonNull(chooser, "chooser"));
  }

  /**
   * Returns a VM for each member, or empty if there is no room for all of them.
   *
   * @param wish what each member needs
   * @param members how many there are
   * @param offers the VMs to choose from
   */
  public Optional<ImmutableList<VmOffer>> choose(
      TaskPlacementRequest wish, int members, Collection<VmOffer> offers) {
    checkArgument(members >= 1, "members is not positive: %s", members);
    if (wish.step().placement().sameRack()) {
      for (List<VmOffer> rack : racks(offers)) {
        Optional<ImmutableList<VmOffer>> together = assign(wish, members, rack);
        if (together.isPresent()) {
          return together;
        }
      }
    }
    return assign(wish, members, offers);
  }

  /** The VMs of each rack, the rack with the most processors left first. */
  private static List<List<VmOffer>> racks(Collection<VmOffer> offers) {
    Map<String, List<VmOffer>> byRack =
        offers.stream()
            .filter(offer -> !offer.rack().isEmpty())
            .collect(Collectors.groupingBy(VmOffer::rack));
    Comparator<List<VmOffer>> byRoom =
        Comparator.comparingLong(
            rack -> rack.stream().mapToLong(VmOffer::remainingMilliProcessors).sum());
    return byRack.values().stream().sorted(byRoom.reversed()).toList();
  }

  private Optional<ImmutableList<VmOffer>> assign(
      TaskPlacementRequest wish, int members, Collection<VmOffer> offers) {
    Map<String, VmOffer> left = new LinkedHashMap<>();
    offers.forEach(offer -> left.put(offer.place().vm(), offer));
    Map<String, Integer> placed = new HashMap<>();
    ImmutableList.Builder<VmOffer> chosen = ImmutableList.builder();
    for (int i = 0; i < members; i++) {
      Optional<VmOffer> best =
          chooser.choose(wish, left.values(), offer -> placed.getOrDefault(offer.place().vm(), 0));
      if (best.isEmpty()) {
        return Optional.empty();
      }
      String vm = best.get().place().vm();
      chosen.add(best.get());
      placed.merge(vm, 1, Integer::sum);
      left.put(vm, best.get().afterPlacing(wish.step(), wish.interference()));
    }
    return Optional.of(chosen.build());
  }
}
