package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.workflow.WorkflowId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The cancels of one partition whose workflows were unknown when they were cancelled.
 *
 * <p>Bounded, as callers may cancel any id. Confined to the loop's thread.
 */
final class CancelTombstones {
  /** Maximum number of cancels that are accepted. */
  static final int MAX_TOMBSTONES = 1_000;

  /** Age at which a repeated cancel is written again, in milliseconds. */
  private static final long RENEWAL_INTERVAL_MILLIS = 5_000;

  private final Map<WorkflowId, Long> cancelledMillisById = new LinkedHashMap<>();

  int size() {
    return cancelledMillisById.size();
  }

  boolean contains(WorkflowId id) {
    return cancelledMillisById.containsKey(id);
  }

  /** Adds a cancel, or renews it; returns false, and changes nothing, if there are too many. */
  boolean add(WorkflowId id, long wallMillis) {
    if (!contains(id) && cancelledMillisById.size() >= MAX_TOMBSTONES) {
      return false;
    }
    cancelledMillisById.put(id, wallMillis);
    return true;
  }

  /** Returns whether the workflow was cancelled so recently that the cancel needs no renewal. */
  boolean isRecent(WorkflowId id, long wallMillis) {
    return contains(id)
        && Math.abs(wallMillis - cancelledMillisById.get(id)) < RENEWAL_INTERVAL_MILLIS;
  }

  /** Adds a cancel that a former owner accepted. */
  void restore(WorkflowId id, long wallMillis) {
    cancelledMillisById.put(id, wallMillis);
  }

  /** Removes the cancel and returns its wall clock in milliseconds, or empty if there is none. */
  OptionalLong remove(WorkflowId id) {
    Long cancelledMillis = cancelledMillisById.remove(id);
    return cancelledMillis == null ? OptionalLong.empty() : OptionalLong.of(cancelledMillis);
  }

  /** Removes the cancels that are older than the time, in milliseconds, and returns their ids. */
  ImmutableList<WorkflowId> removeOlderThan(long wallMillis) {
    ImmutableList<WorkflowId> removed =
        cancelledMillisById.entrySet().stream()
            .filter(entry -> entry.getValue() < wallMillis)
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    removed.forEach(cancelledMillisById::remove);
    return removed;
  }
}
