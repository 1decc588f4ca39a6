package io.marigoldsail.routing;

import io.marigoldsail.dispatch.TargetState;

/** An entry's state of one target. Confined to the thread of its {@link Router}. */
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

  /** Returns whether regular requests may be sent to the target if it has capacity. */
  boolean isOpen(long now) {
    return !leaving && !health.isEased() && share.own() < slowStart.limit(share.slots(), now);
  }

  /**
   * Returns whether a probe may be sent now. Probes in flight are not counted: a probe that happens
   * to be a long job on a slow target takes many seconds, and waiting for it left a recovered
   * target without requests for 15 seconds.
   */
  boolean isDueForProbe(long now) {
    return !leaving && health.isEased() && now >= nextProbe && share.hasFreeSlot(now);
  }

  void probeNotBefore(long time) {
    nextProbe = time;
  }
}
