package io.marigoldsail.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.idempotency.IdempotencyKeyStore.Admission;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class IdempotencyKeyStoreTest {
  private static final long FINGERPRINT = 1;

  private final IdempotencyKeyStore<String, String> store = new IdempotencyKeyStore<>(2, 10);

  private Admission<String> admit(String key, String waiter, long now) {
    return store.admit(key, FINGERPRINT, waiter, now);
  }

  /** A caller loses patience and asks again while its charge runs: one charge, two answers. */
  @Test
  void duplicateRequestGetsTheRunningRequestsOutcome() {
    assertInstanceOf(Admission.Run.class, admit("a", "first", 0));
    assertInstanceOf(Admission.Join.class, admit("a", "second", 1));

    assertEquals(List.of("second"), store.complete("a", "paid", 4, 2));
    assertEquals(new Admission.Completed<>(Optional.of("paid")), admit("a", "third", 3));
  }

  @Test
  void abortedKeyMayRunLater() {
    admit("a", "first", 0);
    admit("a", "second", 0);

    assertEquals(List.of("second"), store.abort("a"));
    assertInstanceOf(Admission.Run.class, admit("a", "third", 1));
  }

  @Test
  void sameKeyWithAnotherFingerprintIsAConflict() {
    admit("a", "first", 0);

    assertInstanceOf(Admission.Conflict.class, store.admit("a", 2, "second", 0));
    store.complete("a", "paid", 4, 1);
    assertInstanceOf(Admission.Conflict.class, store.admit("a", 2, "third", 2));
  }

  /** Forgetting a key early for want of room would run its charge again: new ones are refused. */
  @Test
  void fullStoreEvictsNoKeyBeforeItExpires() {
    admit("a", "first", 0);
    store.complete("a", "paid", 4, 0);
    admit("b", "first", 1);

    assertInstanceOf(Admission.Full.class, admit("c", "first", 2));
    assertInstanceOf(Admission.Completed.class, admit("a", "again", 2));
    assertInstanceOf(Admission.Run.class, admit("c", "first", KeyTimeouts.OUTCOME_RETENTION_NANOS));
  }

  @Test
  void oldOutcomesAreEvictedButTheirKeysAreKept() {
    admit("a", "first", 0);
    store.complete("a", "paid", 6, 0);
    admit("b", "first", 0);
    store.complete("b", "paid", 6, 0);

    assertEquals(new Admission.Completed<>(Optional.empty()), admit("a", "again", 1));
    assertEquals(new Admission.Completed<>(Optional.of("paid")), admit("b", "again", 1));
  }

  @Test
  void outcomeAboveTheByteLimitIsNotKept() {
    admit("a", "first", 0);
    store.complete("a", "long", 11, 0);

    assertEquals(new Admission.Completed<>(Optional.empty()), admit("a", "again", 1));
  }

  /** A successor has what its predecessor ran, and forgets it when that one would have. */
  @Test
  void importedKeysAreKnownUntilTheyExpire() {
    admit("a", "first", 0);
    store.complete("a", "paid", 4, 5);
    IdempotencyKeyStore<String, String> successor = new IdempotencyKeyStore<>(2, 10);
    successor.admit("b", FINGERPRINT, "first", 0);
    successor.complete("b", "later", 4, 50);
    assertTrue(successor.importKeys(store.completedKeys(KeyShards.of("a"), 60), 60));

    assertEquals(
        new Admission.Completed<>(Optional.of("paid")),
        successor.admit("a", FINGERPRINT, "second", 61));
    assertInstanceOf(Admission.Conflict.class, successor.admit("a", 2, "third", 62));
    assertInstanceOf(
        Admission.Run.class,
        successor.admit("a", FINGERPRINT, "fourth", 5 + KeyTimeouts.OUTCOME_RETENTION_NANOS));
  }

  /** Half of a shard would let the other half run again: all of it is taken, or none. */
  @Test
  void importIsRefusedWholeWhenTheStoreIsFull() {
    IdempotencyKeyStore<String, String> successor = new IdempotencyKeyStore<>(1, 10);
    successor.admit("b", FINGERPRINT, "first", 0);
    admit("a", "first", 0);
    store.complete("a", "paid", 4, 5);

    assertFalse(successor.importKeys(store.completedKeys(KeyShards.of("a"), 6), 6));
    assertInstanceOf(Admission.Full.class, successor.admit("a", FINGERPRINT, "second", 7));
  }
}
