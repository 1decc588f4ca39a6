package io.marigoldsail.job;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Over what the tasks of one job are spread, as far as room allows. */
public enum Spread {
  /** Over VMs as they come. */
  NONE("none"),
  /** Over racks, so that one rack's loss takes few of the job's tasks. */
  RACK("rack"),
  /** Over availability zones. */
  ZONE("zone");

  private final String code;

  Spread(String code) {
    this.code = code;
  }

  /** Returns the name used in files, logs and answers. */
  @JsonValue
  public String code() {
    return code;
  }

  /** Returns the part of the fleet that a VM belongs to under this spread. */
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
    throw new IllegalArgumentException("no spread is called " + code);
  }
}
