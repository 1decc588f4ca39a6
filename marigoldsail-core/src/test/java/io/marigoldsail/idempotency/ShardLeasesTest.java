package io.marigoldsail.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.marigoldsail.log.Position;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ShardLeasesTest {
  private static final Position CLAIM = new Position(5, 0);
  private static final Position LATER = new Position(9, 0);

  private final ShardLeases leases = new ShardLeases();

  @Test
  void leaseRunsFromTheConfirmationTime() {
    leases.confirmed(1, CLAIM, 100, 0);

    long end = 100 + KeyTimeouts.LEASE_NANOS;
    assertEquals(OptionalLong.of(0), leases.servesFrom(1, CLAIM, end - 1));
    assertEquals(OptionalLong.empty(), leases.servesFrom(1, CLAIM, end));
    assertEquals(OptionalLong.empty(), leases.servesFrom(2, CLAIM, 100));
  }

  /** Evidence that was long on its way must not take back what younger evidence gave. */
  @Test
  void olderConfirmationDoesNotShortenALease() {
    leases.confirmed(1, CLAIM, 500, 0);
    leases.confirmed(1, CLAIM, 100, 0);

    assertEquals(OptionalLong.of(0), leases.servesFrom(1, CLAIM, 499 + KeyTimeouts.LEASE_NANOS));
  }

  /**
   * A home is revoked by mistake, claims again, and an entry that is behind still vouches for the
   * first claim: by that the home would skip the quiet time and run what another ran in between.
   */
  @Test
  void earlierClaimDoesNotReplaceALaterClaim() {
    leases.confirmed(1, LATER, 100, 8_000);
    leases.confirmed(1, CLAIM, 200, 0);

    assertEquals(OptionalLong.of(8_000), leases.servesFrom(1, LATER, 300));
    assertEquals(OptionalLong.empty(), leases.servesFrom(1, CLAIM, 300));
  }

  @Test
  void earliestEndOfTheTakeoverDelayWins() {
    leases.confirmed(1, CLAIM, 100, 8_000);
    leases.confirmed(1, CLAIM, 100, 6_000);
    leases.confirmed(1, CLAIM, 100, 9_000);

    assertEquals(OptionalLong.of(6_000), leases.servesFrom(1, CLAIM, 200));
  }
}
