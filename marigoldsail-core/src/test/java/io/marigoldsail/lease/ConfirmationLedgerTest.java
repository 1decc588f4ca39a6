package io.marigoldsail.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConfirmationLedgerTest {
  private final ConfirmationLedger ledger = new ConfirmationLedger();

  private static ConfirmationLedger.Request request(String vm, long nanos) {
    return new ConfirmationLedger.Request(vm, 1, 1, nanos);
  }

  /**
   * A VM asks again while a heartbeat is on its way to the log, and is revoked in between. The
   * heartbeat stands before the revocation, so it may bear out the first ask only; the second would
   * give the VM a lease that counts from after its revocation.
   */
  @Test
  void aHeartbeatConfirmsOnlyEarlierRequests() {
    ledger.recordRequest(request("vm-1", 10));
    long number = ledger.recordHeartbeatSent();
    ledger.recordRequest(request("vm-1", 20));
    ledger.recordRequest(request("vm-2", 21));

    assertEquals(List.of(request("vm-1", 10)), ledger.confirmedBy(number));
  }

  @Test
  void aHeartbeatConfirmsItsRequestsOnce() {
    ledger.recordRequest(request("vm-1", 10));
    long first = ledger.recordHeartbeatSent();
    long second = ledger.recordHeartbeatSent();
    ledger.confirmedBy(second);

    assertEquals(List.of(), ledger.confirmedBy(first));
    assertEquals(List.of(), ledger.confirmedBy(second));
  }
}
