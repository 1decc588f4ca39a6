package io.marigoldsail.routing;

import static java.util.Objects.requireNonNull;

/**
 * Where a request goes, and why. Immutable.
 *
 * @param vm the target's VM
 * @param reason what the choice rests on
 */
public record Route(String vm, Reason reason) {
  /** Checks the components. */
  public Route {
    requireNonNull(vm, "vm");
    requireNonNull(reason, "reason");
  }

  /** What a choice of target rests on. */
  public enum Reason {
    /** The less loaded of some targets with a free slot in the entry's own availability zone. */
    OWN_ZONE("own zone, less loaded"),
    /** The less loaded of some targets with a free slot anywhere, for the own zone is busy. */
    ANY_ZONE("own zone busy, less loaded elsewhere"),
    /** No slot is free; the request waits beside the target for the next one. */
    TARGET_QUEUE("all slots busy, place to wait"),
    /** The target was slow or failing, and is tried with this request. */
    PROBE("probe of an eased-off target");

    private final String text;

    Reason(String text) {
      this.text = text;
    }

    /** Returns the reason in words, for the time line. */
    public String text() {
      return text;
    }
  }
}
