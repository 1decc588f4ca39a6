package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.LinkLoop;

/**
 * Monitors by health probes whether a target accepts work.
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
   * Creates a monitor of a target that is not known to accept work yet.
   *
   * @param loop the loop that all state is confined to
   * @param target the target
   * @param onChanged run on the loop when {@link #acceptsWork} has changed
   */
  TargetHealthMonitor(LinkLoop loop, Target target, Runnable onChanged) {
    this.loop = loop;
    this.target = target;
    this.onChanged = onChanged;
  }

  /** Returns whether the target accepted work at its last conclusive probe. */
  boolean acceptsWork() {
    return acceptsWork;
  }

  /** Probes the target unless a probe is in progress. */
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
