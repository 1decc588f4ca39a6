package io.marigoldsail.lease;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks which lease requests an entry had received before it sent each heartbeat to the log.
 *
 * <p>An entry that reads its own heartbeat back has read everything that precedes it in the log. If
 * that contains no revocation of a VM, the VM was not revoked when the entry sent the heartbeat,
 * and so not when the VM's request, received earlier, was sent. Reading the end of the log instead
 * proves nothing, because a read may be stale. Confirming a request that was received after the
 * heartbeat was sent would date the evidence too late, because a revocation could lie between.
 *
 * <p>Not thread-safe.
 */
public final class ConfirmationLedger {
  private static final int MAX_PENDING = 64;

  /**
   * Request of a side process to confirm that its VM is not revoked.
   *
   * @param vm the VM's name
   * @param bootIncarnation the boot of the worker
   * @param processIncarnation the start of the side process
   * @param requestedNanos the side process's clock when it sent the request
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

  /** Records a request, which replaces an earlier one of the same VM. */
  public void recordRequest(Request request) {
    latest.put(request.vm(), request);
  }

  /** Removes the request of a VM that is gone. */
  public void remove(String vm) {
    latest.remove(vm);
  }

  /**
   * Records that a heartbeat is about to be sent and returns its number.
   *
   * <p>Must be called before the append, never after.
   */
  public long recordHeartbeatSent() {
    long number = nextHeartbeat;
    nextHeartbeat++;
    pending.put(number, List.copyOf(latest.values()));
    if (pending.size() > MAX_PENDING) {
      // During an outage of the log the oldest evidence is of least use.
      pending.pollFirstEntry();
    }
    return number;
  }

  /**
   * Returns the requests that a heartbeat read back from the log confirms, and drops it and earlier
   * ones.
   */
  public List<Request> confirmedBy(long number) {
    List<Request> requests = pending.get(number);
    pending.headMap(number, true).clear();
    return requests == null ? List.of() : requests;
  }
}
