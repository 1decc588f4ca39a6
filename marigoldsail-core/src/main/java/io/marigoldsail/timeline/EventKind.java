package io.marigoldsail.timeline;

import java.util.Locale;
import java.util.Optional;

/** The kind of an {@link Event}. The names of constants start with the subject. */
public enum EventKind {
  /** A request arrived at an entry. */
  REQUEST_ARRIVED,
  /** A request was queued in an entry. */
  REQUEST_QUEUED,
  /** A request was sent to a target. */
  REQUEST_SENT,
  /** A request is retried. */
  REQUEST_RETRIED,
  /** A side process sent a request to its target. */
  REQUEST_STARTED,
  /** A target responded to a request. */
  REQUEST_ANSWERED,
  /** A request was refused without being run. */
  REQUEST_REFUSED,
  /** A request failed with an outcome other than a refusal. */
  REQUEST_FAILED,
  /** The outcome of a request was queried over a new connection. */
  REQUEST_RESOLVED,
  /** A job was accepted. */
  JOB_ACCEPTED,
  /** A job was refused. */
  JOB_REFUSED,
  /** A job was cancelled. */
  JOB_CANCELLED,
  /** A task is waiting; the detail is the reason. */
  TASK_WAITING,
  /** A VM was selected for a task; the detail is the reason. */
  TASK_PLACED,
  /** Capacity on a VM is being freed for an urgent task; the detail names the preempted tasks. */
  TASK_PREEMPTING,
  /** A claim was accepted in the log. */
  TASK_CLAIMED,
  /** A claim lost a race in the log. */
  TASK_CLAIM_LOST,
  /** A worker started a task. */
  TASK_STARTED,
  /** A task was throttled to protect a service. */
  TASK_THROTTLED,
  /** A task wrote a checkpoint. */
  TASK_CHECKPOINTED,
  /** A task was evicted; the detail is the reason. */
  TASK_EVICTED,
  /** A task was released for its next attempt. */
  TASK_RELEASED,
  /** A task ended: done, cancelled or failed. */
  TASK_ENDED,
  /** A lease was renewed. */
  LEASE_RENEWED,
  /** A lease expired. */
  LEASE_LAPSED,
  /** A VM's incarnation was revoked. */
  VM_REVOKED,
  /** A process or target joined. */
  MEMBER_JOINED,
  /** A member announced that it is draining. */
  MEMBER_LEAVING,
  /** A member was removed after its timeout. */
  MEMBER_LOST,
  /** A configuration was accepted. */
  CONFIGURATION_ACCEPTED,
  /** A configuration was refused. */
  CONFIGURATION_REFUSED,
  /** A configuration came into force in this process. */
  CONFIGURATION_IN_FORCE,
  /** The log service became unavailable. */
  LOG_OUTAGE_BEGAN,
  /** The log service became available again. */
  LOG_OUTAGE_ENDED,
  /** The history of a log stream was replaced; the detail is the reaction. */
  LOG_HISTORY_REPLACED,
  /** The former history of a log stream is back. */
  LOG_HISTORY_RETURNED,
  /** A connection to a peer was closed after a failure. */
  CONNECTION_LOST,
  /** A process started. */
  PROCESS_STARTED,
  /** A process started a graceful shutdown. */
  PROCESS_STOPPING;

  /** Returns the stable name used in logs and responses, such as {@code task-claimed}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the kind with the given {@linkplain #code() code}, or empty for an unknown one. */
  public static Optional<EventKind> forCode(String code) {
    for (EventKind kind : values()) {
      if (kind.code().equals(code)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
