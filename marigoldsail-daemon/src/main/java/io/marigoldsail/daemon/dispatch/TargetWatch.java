package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.LinkLoop;

/**
 * Probes a target again and again to know whether it takes work.
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
   * Creates a watch of a target that is not known to take work yet.
   *
   * @param loop the thread
   * @param target the target
   * @param changed told on the loop when {@link #takesWork} changed
   */
  TargetWatch(LinkLoop loop, Target target, Runnable changed) {
    this.loop = loop;
    this.target = target;
    this.changed = changed;
  }

  /** Returns whether the target took work when it was last clearly heard. */
  boolean takesWork() {
    return takesWork;
  }

  /** Probes the target unless a probe is still under way. */
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
