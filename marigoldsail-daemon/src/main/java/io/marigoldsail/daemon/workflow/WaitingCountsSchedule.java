package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * Decides at which ticks an entry sends the numbers of its waiting workflows to the other entries.
 *
 * <p>In a large fleet with free capacity the numbers rarely change. Sent at every tick, they would
 * be frames between all pairs of entries that say nothing new. Confined to one thread.
 */
final class WaitingCountsSchedule {
  /** Ticks after which unchanged numbers are sent again, since peers drop old ones. */
  static final int REPEAT_TICKS = 4;

  private ImmutableMap<String, Integer> lastSent = ImmutableMap.of();
  private int ticksUntilRepeat;

  /** Returns whether to send the numbers at this tick; to be called once a tick. */
  boolean isDue(Map<String, Integer> waiting) {
    ticksUntilRepeat--;
    if (ticksUntilRepeat > 0 && waiting.equals(lastSent)) {
      return false;
    }
    lastSent = ImmutableMap.copyOf(waiting);
    ticksUntilRepeat = REPEAT_TICKS;
    return true;
  }

  /** Records that a peer has connected, which knows no numbers yet. */
  void peerConnected() {
    ticksUntilRepeat = 0;
  }
}
