package io.marigoldsail.timeline;

import java.util.Locale;
import java.util.Optional;

/** What an {@link Event} tells of. Constants are named subject first. */
public enum EventKind {
  /** A request reached an entry. */
  REQUEST_ARRIVED,
  /** A request waits in an entry. */
  REQUEST_QUEUED,
  /** A request was sent to a target. */
  REQUEST_SENT,
  /** A request is tried again. */
  REQUEST_RETRIED,
  /** A side process handed a request to its target. */
  REQUEST_STARTED,
  /** A request was answered by its target. */
  REQUEST_ANSWERED,
  /** A request was refused as not run. */
  REQUEST_REFUSED,
  /** A request failed with an outcome other than a refusal. */
  REQUEST_FAILED,
  /** The outcome of a request was asked for over a new connection. */
  REQUEST_RESOLVED,
  /** A job was accepted. */
  JOB_ACCEPTED,
  /** A job was refused. */
  JOB_REFUSED,
  /** A job was cancelled. */
  JOB_CANCELLED,
  /** A task waits; the detail says why. */
  TASK_WAITING,
  /** A VM was chosen for a task; the detail says why. */
  TASK_PLACED,
  /** Room on a VM is being freed for an urgent task; the detail says who goes. */
  TASK_PREEMPTING,
  /** A claim was accepted in the log. */
  TASK_CLAIMED,
  /** A claim lost a race in the log. */
  TASK_CLAIM_LOST,
  /** A worker runs a task. */
  TASK_STARTED,
  /** A task was throttled for the sake of a service. */
  TASK_THROTTLED,
  /** A task wrote a checkpoint. */
  TASK_CHECKPOINTED,
  /** A task was evicted; the detail says why. */
  TASK_EVICTED,
  /** A task was released for its next attempt. */
  TASK_RELEASED,
  /** A task ended: done, cancelled or failed. */
  TASK_ENDED,
  /** A lease was renewed. */
  LEASE_RENEWED,
  /** A lease lapsed. */
  LEASE_LAPSED,
  /** A VM's incarnation was revoked. */
  VM_REVOKED,
  /** A process or target appeared. */
  MEMBER_JOINED,
  /** A member announced that it leaves. */
  MEMBER_LEAVING,
  /** A member was dropped. */
  MEMBER_LOST,
  /** A configuration was accepted. */
  CONFIGURATION_ACCEPTED,
  /** A configuration was refused. */
  CONFIGURATION_REFUSED,
  /** A configuration is in force in this process. */
  CONFIGURATION_IN_FORCE,
  /** The log service stopped answering. */
  LOG_OUTAGE_BEGAN,
  /** The log service answers again. */
  LOG_OUTAGE_ENDED,
  /** A stream of the log is another one than was read so far; the detail says what follows. */
  LOG_HISTORY_REPLACED,
  /** The stream that was read before is back. */
  LOG_HISTORY_RETURNED,
  /** A connection to a peer was given up. */
  CONNECTION_LOST,
  /** A process began. */
  PROCESS_STARTED,
  /** A process began a planned stop. */
  PROCESS_STOPPING;

  /** Returns the stable name used in logs and answers, such as {@code task-claimed}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the kind with the given {@linkplain #code() code}, or empty for a foreign one. */
  public static Optional<EventKind> forCode(String code) {
    for (EventKind kind : values()) {
      if (kind.code().equals(code)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
