package io.marigoldsail.daemon.workflow;

/** Why a task that is ready has not been ordered. */
enum WaitCause {
  /** No configuration has been received. */
  NO_CONFIGURATION("no configuration is in force"),
  /** Its last attempt was refused or failed, and its backoff has not ended. */
  BACKING_OFF("backing off after its last attempt"),
  /** No VM may be given work. */
  NO_VM_OFFERED("no VM is offered"),
  /** The side processes of all VMs are of versions that cannot represent the workflow's id. */
  ID_NOT_REPRESENTED("no VM offered has a side process that can represent the id"),
  /** VMs may be given work, but none of them admits this task. */
  NO_VM_ADMITS("none of the VMs offered admits it"),
  /** The placement adviser has not allowed a VM that admits it. */
  NOT_ADVISED("the placement adviser has allowed no VM that admits it"),
  /** A VM admits it now; the scheduling pass that orders it is due. */
  ADMITTED("a VM admits it now");

  private final String text;

  WaitCause(String text) {
    this.text = text;
  }

  /** Returns the text for logs. */
  @Override
  public String toString() {
    return text;
  }
}
