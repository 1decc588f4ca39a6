package io.marigoldsail.lease;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An entry's evidence for vouching: which asks it had received before it sent which heartbeat.
 *
 * <p>An entry that reads its own heartbeat back has read everything that stood in the log when the
 * heartbeat got in. If no revocation of a VM is among it, the VM was not revoked when the entry
 * sent the heartbeat, and so not when the VM's ask, received earlier, was sent. Reading the tail
 * instead would prove nothing, because a read may be stale. Vouching for an ask received after the
 * heartbeat was sent would date the evidence too late; a revocation could lie between.
 *
 * <p>Not safe for use by several threads.
 */
public final class ConfirmationLedger {
  private static final int MAX_PENDING = 64;

  /**
   * What a side process asked with.
   *
   * @param vm the VM's name
   * @param bootIncarnation the worker's boot
   * @param processIncarnation the side process's start
   * @param requestedNanos the side process's clock when it asked
   */
  public record Request(
      String vm, long bootIncarnation, long processIncarnation, long requestedNanos) {
    /** Checks the components. */
    public Request {
      requireNonNull(vm, "vm");
    }
  }

  private final Map<String, Request> latest = new HashMap<>();
  private final TreeMap<Long, List<Request>> pending = new TreeMap<>();
  private long nextHeartbeat;

  /** Creates an empty ledger. */
  public ConfirmationLedger() {}

  /** Keeps an ask; a later one of the same VM takes its place. */
  public void recordRequest(Request ask) {
    latest.put(ask.vm(), ask);
  }

  /** Forgets a VM that is gone. */
  public void remove(String vm) {
    latest.remove(vm);
  }

  /**
   * Notes that a heartbeat is about to be sent and returns its number. Must be called before the
   * append, never after.
   */
  public long recordHeartbeatSent() {
    long number = nextHeartbeat;
    nextHeartbeat++;
    pending.put(number, List.copyOf(latest.values()));
    if (pending.size() > MAX_PENDING) {
      // During an outage of the log the oldest evidence is worth least.
      pending.pollFirstEntry();
    }
    return number;
  }

  /**
   * Returns the asks that a heartbeat read back from the log bears out, and forgets it and earlier
   * ones.
   */
  public List<Request> confirmedBy(long number) {
    List<Request> asks = pending.get(number);
    pending.headMap(number, true).clear();
    return asks == null ? List.of() : asks;
  }
}
