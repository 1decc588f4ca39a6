package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.LinkLoop;

/**
 * Probes a target again and again to know whether it takes work.
 *
 * <p>Confined to the loop's thread, but for {@link #acceptsWork}.
 */
final class TargetHealthMonitor {
  private static final System.Logger LOG = System.getLogger(TargetHealthMonitor.class.getName());

  private final LinkLoop loop;
  private final Target target;
  private final Runnable onChanged;
  private volatile boolean acceptsWork;
  private boolean probing;

  /**
   * Creates a watch of a target that is not known to take work yet.
   *
   * @param loop the thread
   * @param target the target
   * @param changed told on the loop when {@link #acceptsWork} changed
   */
  TargetHealthMonitor(LinkLoop loop, Target target, Runnable changed) {
    this.loop = loop;
    this.target = target;
    this.onChanged = changed;
  }

  /** Returns whether the target took work when it was last clearly heard. */
  boolean acceptsWork() {
    return acceptsWork;
  }

  /** Probes the target unless a probe is still under way. */
  void probe() {
    if (probing) {
      return;
    }
    probing = true;
    target.probe(health -> loop.run(() -> probeCompleted(health)));
  }

  private void probeCompleted(TargetHealth health) {
    probing = false;
    if (health == TargetHealth.UNKNOWN || (health == TargetHealth.SERVING) == acceptsWork) {
      return;
    }
    acceptsWork = health == TargetHealth.SERVING;
    LOG.log(System.Logger.Level.INFO, "event=target-changed health={0}", health);
    onChanged.run();
  }
}
