package io.marigoldsail.daemon.workflow;

/** Why a task that is ready has no order out. */
enum WaitCause {
  /** Nobody has told which services there are. */
  NO_CONFIGURATION("no configuration is in force"),
  /** Its queue's service is none of the configuration in force. */
  SERVICE_UNUSED("the configuration does not use its service"),
  /** Its last attempt was refused or failed a moment ago. */
  BACKING_OFF("it waits after its last attempt"),
  /** No VM may be given work. */
  NO_VM_OFFERED("no VM is offered"),
  /** VMs may be given work, and none of them this task. */
  NO_VM_ADMITS("none of the VMs offered admits it"),
  /** The adviser of its queue has not named a VM that admits it. */
  NOT_ADVISED("the adviser has named no VM that admits it"),
  /** A VM admits it now: it has just become so, or its order is about to leave. */
  ADMITTED("a VM admits it now");

  private final String text;

  WaitCause(String text) {
    this.text = text;
  }

  /** Returns the words for logs. */
  @Override
  public String toString() {
    return text;
  }
}
