package io.marigoldsail.job;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Placement constraint that spreads the tasks of a job, as far as capacity allows. */
public enum Spread {
  /** No constraint. */
  NONE("none"),
  /** Over racks, so that the loss of one rack affects few of the job's tasks. */
  RACK("rack"),
  /** Over availability zones. */
  ZONE("zone");

  private final String code;

  Spread(String code) {
    this.code = code;
  }

  /** Returns the name used in job files, the log and responses. */
  @JsonValue
  public String code() {
    return code;
  }

  /** Returns the group of a VM: tasks of a job are spread evenly over groups. */
  public String groupOf(VmDescription vm) {
    return switch (this) {
      case NONE -> vm.vm();
      case RACK -> vm.zone() + "/" + vm.rack();
      case ZONE -> vm.zone();
    };
  }

  /**
   * Returns the spread with the given code.
   *
   * @throws IllegalArgumentException if there is none
   */
  @JsonCreator
  public static Spread forCode(String code) {
    for (Spread spread : values()) {
      if (spread.code.equals(code)) {
        return spread;
      }
    }
    throw new IllegalArgumentException("unknown spread: " + code);
  }
}
