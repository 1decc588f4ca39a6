package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A side process's report of its target's load, sent in announcements and with responses.
 * Immutable.
 *
 * @param inFlight requests of all entries that the target is processing
 * @param waiting requests queued at the side process for a free slot
 * @param entries number of entries that the side process recently received messages from; each
 *     entry computes its fair share from it
 * @param draining whether the target is draining and accepts no new requests
 */
public record TargetLoad(int inFlight, int waiting, int entries, boolean draining) {
  /** Checks the components. */
  public TargetLoad {
    checkArgument(inFlight >= 0, "inFlight is negative: %s", inFlight);
    checkArgument(waiting >= 0, "waiting is negative: %s", waiting);
    checkArgument(entries >= 0, "entries is negative: %s", entries);
  }
}
