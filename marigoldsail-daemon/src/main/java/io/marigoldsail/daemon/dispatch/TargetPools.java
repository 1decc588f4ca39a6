package io.marigoldsail.daemon.dispatch;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.TargetState;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.settings.HostPort;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * An entry's connections to all side processes that announced a target.
 *
 * <p>A target is visible to the policy only while there is a usable connection to it. Confined to
 * the loop's thread.
 */
final class TargetPools {
  private static final System.Logger LOG = System.getLogger(TargetPools.class.getName());

  private final LinkLoop loop;
  private final LinkSettings settings;
  private final RandomGenerator random;
  private final TargetPool.Listener listener;
  private final TreeMap<String, TargetPool> pools = new TreeMap<>();
  private final List<TargetPool> retired = new ArrayList<>();

  TargetPools(
      LinkLoop loop, LinkSettings settings, RandomGenerator random, TargetPool.Listener listener) {
    this.loop = loop;
    this.settings = settings;
    this.random = random;
    this.listener = listener;
  }

  TargetPool byVm(String vm) {
    return pools.get(vm);
  }

  boolean isUsable(String vm) {
    TargetPool pool = pools.get(vm);
    return pool != null && pool.isUsable();
  }

  /** Returns whether the side process of this incarnation is reachable and accepts requests. */
  boolean acceptsRequests(String vm, long incarnation) {
    TargetPool pool = pools.get(vm);
    return pool != null
        && pool.isUsable()
        && pool.incarnation() == incarnation
        && !pool.targetState().draining();
  }

  /** Applies an announcement; returns whether it changed the list of targets. */
  boolean update(Announcement announcement) {
    TargetPool known = pools.get(announcement.vm());
    if (!announcement.hasTarget()) {
      return retire(announcement.vm());
    }
    if (known != null
        && known.incarnation() == announcement.processIncarnation()
        && known.announcement().address().equals(announcement.address())) {
      TargetState before = known.targetState();
      known.announcement(announcement);
      return !before.equals(known.targetState());
    }
    boolean changed = retire(announcement.vm());
    HostPort.parse(announcement.address())
        .map(HostPort::socketAddress)
        .ifPresentOrElse(
            address -> {
              TargetPool pool =
                  new TargetPool(loop, announcement, address, settings, random, listener);
              pools.put(announcement.vm(), pool);
              pool.tick(loop.now());
            },
            () ->
                LOG.log(
                    System.Logger.Level.WARNING,
                    "event=bad-address vm={0} address=\"{1}\"",
                    announcement.vm(),
                    announcement.address()));
    return changed;
  }

  /**
   * Removes a VM from the list of targets; returns whether it was listed.
   *
   * <p>Its connections stay open until the attempts on them have ended: a VM that stopped
   * announcing itself may still respond to earlier requests.
   */
  boolean retire(String vm) {
    TargetPool pool = pools.remove(vm);
    if (pool == null) {
      return false;
    }
    retired.add(pool);
    return pool.isUsable();
  }

  List<TargetState> targets() {
    ImmutableList.Builder<TargetState> targets = ImmutableList.builder();
    for (TargetPool pool : pools.values()) {
      if (pool.isUsable()) {
        targets.add(pool.targetState());
      }
    }
    return targets.build();
  }

  void tick(long now) {
    List<TargetPool> idle = retired.stream().filter(pool -> !pool.hasAttempts()).toList();
    retired.removeAll(idle);
    idle.forEach(TargetPool::close);
    retired.forEach(pool -> pool.tick(now));
    new ArrayList<>(pools.values()).forEach(pool -> pool.tick(now));
  }

  void resetSilenceTimers(long now) {
    pools.values().forEach(pool -> pool.resetSilenceTimers(now));
    retired.forEach(pool -> pool.resetSilenceTimers(now));
  }

  void close() {
    pools.values().forEach(TargetPool::close);
    retired.forEach(TargetPool::close);
  }
}
