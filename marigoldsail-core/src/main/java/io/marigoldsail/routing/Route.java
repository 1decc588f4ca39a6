package io.marigoldsail.routing;

import static java.util.Objects.requireNonNull;

/**
 * The target chosen for a request, with the reason. Immutable.
 *
 * @param vm VM of the target
 * @param reason why this target was chosen
 */
public record Route(String vm, Reason reason) {
  /** Checks the components. */
  public Route {
    requireNonNull(vm, "vm");
    requireNonNull(reason, "reason");
  }

  /** The reason for the choice of a target. */
  public enum Reason {
    /**
     * The less loaded of the sampled targets with a free slot in the entry's own availability zone.
     */
    OWN_ZONE("own zone, less loaded"),
    /**
     * The less loaded of the sampled targets with a free slot in any zone, because the own zone is
     * busy.
     */
    ANY_ZONE("own zone busy, less loaded elsewhere"),
    /** No slot is free; the request waits in the target queue for the next one. */
    TARGET_QUEUE("all slots busy, queued at the target"),
    /** The target was ejected as slow or failing, and is probed with this request. */
    PROBE("probe of an ejected target");

    private final String text;

    Reason(String text) {
      this.text = text;
    }

    /** Returns a description of the reason for the request timeline. */
    public String text() {
      return text;
    }
  }
}
