package io.marigoldsail.job;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Priority class of a task against other tasks on its VM. */
public enum TaskClass {
  /** Supports a service; never throttled or evicted for other tasks. */
  LATENCY_CRITICAL("latency-critical"),
  /** May be throttled or evicted to protect a service. */
  BATCH("batch");

  private final String code;

  TaskClass(String code) {
    this.code = code;
  }

  /** Returns the name used in job files, the log and responses. */
  @JsonValue
  public String code() {
    return code;
  }

  /**
   * Returns the class with the given code.
   *
   * @throws IllegalArgumentException if there is none
   */
  @JsonCreator
  public static TaskClass forCode(String code) {
    for (TaskClass taskClass : values()) {
      if (taskClass.code.equals(code)) {
        return taskClass;
      }
    }
    throw new IllegalArgumentException("unknown task class: " + code);
  }
}
