package io.marigoldsail.job;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** How a task weighs against others on its VM. */
public enum TaskClass {
  /** Holds a service up; never throttled or evicted for another. */
  LATENCY_CRITICAL("latency-critical"),
  /** Gives way to services. */
  BATCH("batch");

  private final String code;

  TaskClass(String code) {
    this.code = code;
  }

  /** Returns the name used in files, logs and answers. */
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
    throw new IllegalArgumentException("no task class is called " + code);
  }
}
