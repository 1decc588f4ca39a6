package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.LinkLoop;

/**
 * Monitors by health probes whether a target accepts work.
 *
 * <p>Confined to the loop's thread, but for {@link #takesWork}.
 */
final class TargetWatch {
  private static final System.Logger LOG = System.getLogger(TargetWatch.class.getName());

  private final LinkLoop loop;
  private final Target target;
  private final Runnable changed;
  private volatile boolean takesWork;
  private boolean probing;

  /**
   * Creates a monitor of a target that is not known to accept work yet.
   *
   * @param loop the loop that all state is confined to
   * @param target the target
   * @param onChanged run on the loop when {@link #takesWork} has changed
   */
  TargetWatch(LinkLoop loop, Target target, Runnable onChanged) {
    this.loop = loop;
    this.target = target;
    this.changed = onChanged;
  }

  /** Returns whether the target accepted work at its last conclusive probe. */
  boolean takesWork() {
    return takesWork;
  }

  /** Probes the target unless a probe is in progress. */
  void probe() {
    if (probing) {
      return;
    }
    probing = true;
    target.probe(health -> loop.run(() -> heard(health)));
  }

  private void heard(TargetHealth health) {
    probing = false;
    if (health == TargetHealth.UNCLEAR || (health == TargetHealth.SERVING) == takesWork) {
      return;
    }
    takesWork = health == TargetHealth.SERVING;
    LOG.log(System.Logger.Level.INFO, "event=target-changed health={0}", health);
    changed.run();
  }
}
