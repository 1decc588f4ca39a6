package io.marigoldsail.routing;

import io.marigoldsail.dispatch.TargetState;

/** What this entry knows of one target. Confined to the thread of its {@link Router}. */
final class Target {
  private final SlotShare share;
  private final TargetHealth health = new TargetHealth();
  private final long createdAt;
  private TargetState state;
  private SlowStart slowStart;
  private boolean leaving;
  private long nextProbe;

  Target(TargetState state, SlowStart slowStart, long createdAt) {
    this.createdAt = createdAt;
    this.state = state;
    this.slowStart = slowStart;
    this.leaving = state.leaving();
    this.share = new SlotShare(state.slots());
  }

  void update(TargetState newState) {
    state = newState;
    leaving = newState.leaving();
    share.resize(newState.slots());
  }

  long createdAt() {
    return createdAt;
  }

  TargetState state() {
    return state;
  }

  SlotShare share() {
    return share;
  }

  TargetHealth health() {
    return health;
  }

  void markLeaving() {
    leaving = true;
  }

  void restart(long now) {
    slowStart = SlowStart.at(now);
  }

  /** Returns whether ordinary requests may go there, if it has a place. */
  boolean isOpen(long now) {
    return !leaving && !health.isEased() && share.own() < slowStart.limit(share.slots(), now);
  }

  /**
   * Returns whether a probe may be sent. Probes that are still out do not count: one that turns out
   * to be a long job on a slow target lasts for many seconds, and waiting for it kept a target that
   * had recovered without requests for a quarter of a minute.
   */
  boolean isDueForProbe(long now) {
    return !leaving && health.isEased() && now >= nextProbe && share.hasFreeSlot(now);
  }

  void probeNotBefore(long time) {
    nextProbe = time;
  }
}
