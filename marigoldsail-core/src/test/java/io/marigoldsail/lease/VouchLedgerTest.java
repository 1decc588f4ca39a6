package io.marigoldsail.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class VouchLedgerTest {
  private final VouchLedger ledger = new VouchLedger();

  private static VouchLedger.Ask ask(String vm, long nanos) {
    return new VouchLedger.Ask(vm, 1, 1, nanos);
  }

  /** A VM sends a second request while a heartbeat is on its way to the log, and is revoked in between. The heartbeat precedes the revocation, so it confirms only the first request. Guards against a lease that counts from after the revocation. */
  @Test
  void aHeartbeatBearsOutOnlyAsksFromBeforeItLeft() {
    ledger.asked(ask("vm-1", 10));
    long number = ledger.heartbeatLeaves();
    ledger.asked(ask("vm-1", 20));
    ledger.asked(ask("vm-2", 21));

    assertEquals(List.of(ask("vm-1", 10)), ledger.heartbeatReadBack(number));
  }

  @Test
  void aHeartbeatBearsOutItsAsksOnce() {
    ledger.asked(ask("vm-1", 10));
    long first = ledger.heartbeatLeaves();
    long second = ledger.heartbeatLeaves();
    ledger.heartbeatReadBack(second);

    assertEquals(List.of(), ledger.heartbeatReadBack(first));
    assertEquals(List.of(), ledger.heartbeatReadBack(second));
  }
}
