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
 * <p>Guards against gangs that deadlock on a nearly full fleet, because their tasks make progress
 * only while all of them run. Placed one by one, two gangs would each hold half of their places and
 * wait for the other half until their workers give up. So a gang is placed in a single pass or not
 * at all. Members that are slower on separate racks go to one rack that holds them all, if there is
 * any.
 *
 * <p>Immutable, and safe for any thread. Takes time proportional to members times VMs, for each
 * rack tried.
 */
public final class GangChooser {
  private final VmChooser chooser;

  private GangChooser(VmChooser chooser) {
    this.chooser = chooser;
  }

  /** Returns a chooser that rates VMs for single members with the given chooser. */
  public static GangChooser of(VmChooser chooser) {
    return new GangChooser(requireNonNull(chooser, "chooser"));
  }

  /**
   * Returns a VM for each member, or empty if not all of them fit.
   *
   * @param request the request of each member
   * @param members the number of members, at least 1
   * @param offers the VMs to choose from
   */
  public Optional<ImmutableList<VmOffer>> choose(
      TaskPlacementRequest request, int members, Collection<VmOffer> offers) {
    checkArgument(members >= 1, "members is not positive: %s", members);
    if (request.step().placement().sameRack()) {
      for (List<VmOffer> rack : racks(offers)) {
        Optional<ImmutableList<VmOffer>> onOneRack = assign(request, members, rack);
        if (onOneRack.isPresent()) {
          return onOneRack;
        }
      }
    }
    return assign(request, members, offers);
  }

  /** Returns the VMs of each rack, the rack with the most remaining processors first. */
  private static List<List<VmOffer>> racks(Collection<VmOffer> offers) {
    Map<String, List<VmOffer>> byRack =
        offers.stream()
            .filter(offer -> !offer.rack().isEmpty())
            .collect(Collectors.groupingBy(VmOffer::rack));
    Comparator<List<VmOffer>> byRemaining =
        Comparator.comparingLong(
            rack -> rack.stream().mapToLong(VmOffer::remainingMilliProcessors).sum());
    return byRack.values().stream().sorted(byRemaining.reversed()).toList();
  }

  private Optional<ImmutableList<VmOffer>> assign(
      TaskPlacementRequest request, int members, Collection<VmOffer> offers) {
    Map<String, VmOffer> remaining = new LinkedHashMap<>();
    offers.forEach(offer -> remaining.put(offer.place().vm(), offer));
    Map<String, Integer> placed = new HashMap<>();
    ImmutableList.Builder<VmOffer> chosen = ImmutableList.builder();
    for (int i = 0; i < members; i++) {
      Optional<VmOffer> best =
          chooser.choose(
              request, remaining.values(), offer -> placed.getOrDefault(offer.place().vm(), 0));
      if (best.isEmpty()) {
        return Optional.empty();
      }
      String vm = best.get().place().vm();
      chosen.add(best.get());
      placed.merge(vm, 1, Integer::sum);
      remaining.put(vm, best.get().afterPlacing(request.step(), request.interference()));
    }
    return Optional.of(chosen.build());
  }
}
