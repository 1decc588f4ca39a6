package io.marigoldsail.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.idempotency.KeyStore.Admission;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class KeyStoreTest {
  private static final long FINGERPRINT = 1;

  private final KeyStore<String, String> store = new KeyStore<>(2, 10);

  private Admission<String> admit(String key, String waiter, long now) {
    return store.admit(key, FINGERPRINT, waiter, now);
  }

  /** A caller repeats its request while its charge is running: one charge, two answers. */
  @Test
  void whoAsksWhileItRunsGetsItsAnswer() {
    assertInstanceOf(Admission.Run.class, admit("a", "first", 0));
    assertInstanceOf(Admission.Join.class, admit("a", "second", 1));

    assertEquals(List.of("second"), store.ran("a", "paid", 4, 2));
    assertEquals(new Admission.Ran<>(Optional.of("paid")), admit("a", "third", 3));
  }

  @Test
  void whatDidNotRunMayRunLater() {
    admit("a", "first", 0);
    admit("a", "second", 0);

    assertEquals(List.of("second"), store.notRun("a"));
    assertInstanceOf(Admission.Run.class, admit("a", "third", 1));
  }

  @Test
  void keyOfAnotherRequestIsAConflict() {
    admit("a", "first", 0);

    assertInstanceOf(Admission.Conflict.class, store.admit("a", 2, "second", 0));
    store.ran("a", "paid", 4, 1);
    assertInstanceOf(Admission.Conflict.class, store.admit("a", 2, "third", 2));
  }

  /**
   * Evicting a key early for lack of capacity would run its charge again, so new keys are refused.
   */
  @Test
  void fullStoreForgetsNoKeyBeforeItsTime() {
    admit("a", "first", 0);
    store.ran("a", "paid", 4, 0);
    admit("b", "first", 1);

    assertInstanceOf(Admission.Full.class, admit("c", "first", 2));
    assertInstanceOf(Admission.Ran.class, admit("a", "again", 2));
    assertInstanceOf(Admission.Run.class, admit("c", "first", KeyTerms.WINDOW_NANOS));
  }

  @Test
  void answersGiveWayButTheirKeysStay() {
    admit("a", "first", 0);
    store.ran("a", "paid", 6, 0);
    admit("b", "first", 0);
    store.ran("b", "paid", 6, 0);

    assertEquals(new Admission.Ran<>(Optional.empty()), admit("a", "again", 1));
    assertEquals(new Admission.Ran<>(Optional.of("paid")), admit("b", "again", 1));
  }

  @Test
  void answerLongerThanAllMayHoldIsNotKept() {
    admit("a", "first", 0);
    store.ran("a", "long", 11, 0);

    assertEquals(new Admission.Ran<>(Optional.empty()), admit("a", "again", 1));
  }

  /** A successor gets the keys that its predecessor ran, with their expiry times. */
  @Test
  void takenOverKeysAreKnownUntilTheirTime() {
    admit("a", "first", 0);
    store.ran("a", "paid", 4, 5);
    KeyStore<String, String> successor = new KeyStore<>(2, 10);
    successor.admit("b", FINGERPRINT, "first", 0);
    successor.ran("b", "later", 4, 50);
    assertTrue(successor.takeOver(store.endedOf(KeyShards.of("a"), 60), 60));

    assertEquals(
        new Admission.Ran<>(Optional.of("paid")), successor.admit("a", FINGERPRINT, "second", 61));
    assertInstanceOf(Admission.Conflict.class, successor.admit("a", 2, "third", 62));
    assertInstanceOf(
        Admission.Run.class,
        successor.admit("a", FINGERPRINT, "fourth", 5 + KeyTerms.WINDOW_NANOS));
  }

  /**
   * With half of a shard's keys, requests with the other half would run again, so all keys are
   * imported or none.
   */
  @Test
  void fullStoreTakesNoneOfAShard() {
    KeyStore<String, String> successor = new KeyStore<>(1, 10);
    successor.admit("b", FINGERPRINT, "first", 0);
    admit("a", "first", 0);
    store.ran("a", "paid", 4, 5);

    assertFalse(successor.takeOver(store.endedOf(KeyShards.of("a"), 6), 6));
    assertInstanceOf(Admission.Full.class, successor.admit("a", FINGERPRINT, "second", 7));
  }
}
