package io.marigoldsail.routing;

import io.marigoldsail.dispatch.TargetState;

/** What this entry knows of one target. Confined to the thread of its {@link Router}. */
final class Target {
  private final SlotShare slotShare;
  private final TargetHealth health = new TargetHealth();
  private final long createdAt;
  private TargetState state;
  private SlowStart slowStart;
  private boolean draining;
  private long nextProbe;

  Target(TargetState state, SlowStart slowStart, long createdAt) {
    this.createdAt = createdAt;
    this.state = state;
    this.slowStart = slowStart;
    this.draining = state.draining();
    this.slotShare = new SlotShare(state.slots());
  }

  void update(TargetState newState) {
    state = newState;
    draining = newState.draining();
    slotShare.resize(newState.slots());
  }

  long createdAt() {
    return createdAt;
  }

  TargetState state() {
    return state;
  }

  SlotShare slotShare() {
    return slotShare;
  }

  TargetHealth health() {
    return health;
  }

  void markDraining() {
    draining = true;
  }

  void restartSlowStart(long now) {
    slowStart = SlowStart.startingAt(now);
  }

  /** Returns whether ordinary requests may go there, if it has a place. */
  boolean isAvailable(long now) {
    return !draining
        && !health.isEjected()
        && slotShare.ownInFlight() < slowStart.limit(slotShare.slots(), now);
  }

  /**
   * Returns whether a probe may be sent. Probes that are still out do not count: one that turns out
   * to be a long job on a slow target lasts for many seconds, and waiting for it kept a target that
   * had recovered without requests for a quarter of a minute.
   */
  boolean isDueForProbe(long now) {
    return !draining && health.isEjected() && now >= nextProbe && slotShare.hasFreeSlot(now);
  }

  void setNextProbe(long time) {
    nextProbe = time;
  }
}
