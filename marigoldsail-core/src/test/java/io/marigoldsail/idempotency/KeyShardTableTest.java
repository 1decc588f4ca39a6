package io.marigoldsail.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.dispatch.TargetState;
import io.marigoldsail.log.LogEntry;
import io.marigoldsail.log.Position;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class KeyShardTableTest {
  private static final String SERVICE = "parking";

  private long now = 500;
  private long offset;
  private final KeyShardTable table = new KeyShardTable(() -> now);

  private void apply(KeyShardTable to, String type, JsonNode body) {
    Position position = new Position(offset++, 0);
    to.apply(new LogEntry(position, "entry-1/1/" + offset, type, body));
  }

  private void claim(String vm, long incarnation, Integer... shards) {
    apply(
        table, KeyShardTable.CLAIM, KeyShardTable.claim(SERVICE, vm, incarnation, List.of(shards)));
  }

  private void revoke(String vm, long incarnation) {
    apply(table, KeyShardTable.REVOKE, KeyShardTable.revocation(vm, incarnation));
  }

  /**
   * Two entries see different targets and claim the same shard for each. If both claims held, a
   * charge and its repeat through the other entry would run at two homes.
   */
  @Test
  void firstClaimInTheLogWins() {
    claim("vm-1", 1, 3);
    claim("vm-2", 1, 3, 4);

    assertEquals("vm-1", table.owner(SERVICE, 3).orElseThrow().vm());
    assertEquals("vm-2", table.owner(SERVICE, 4).orElseThrow().vm());
    assertEquals(now, table.owner(SERVICE, 3).orElseThrow().servesFrom());
  }

  /** Nobody knows what a dead home ran; its successor is quiet until nobody asks for that again. */
  @Test
  void successorOfARevokedOwnerWaitsForTheTakeoverDelay() {
    claim("vm-1", 1, 3);
    now = 9_000;
    revoke("vm-1", 1);
    assertEquals(Optional.empty(), table.owner(SERVICE, 3));
    now = 10_000;
    claim("vm-2", 1, 3);

    ShardOwner home = table.owner(SERVICE, 3).orElseThrow();
    assertEquals(9_000 + KeyTimeouts.TAKEOVER_DELAY_NANOS, home.servesFrom());
  }

  private void handOver(int shard, ShardOwner from, String vm) {
    apply(table, KeyShardTable.HANDOVER, KeyShardTable.handover(SERVICE, shard, from, vm, 1));
  }

  /** A home stops as planned and its successor has its keys: it need not be quiet. */
  @Test
  void handoverMovesAShardWithoutTakeoverDelay() {
    claim("vm-1", 1, 3);
    ShardOwner from = table.owner(SERVICE, 3).orElseThrow();
    now = 9_000;
    handOver(3, from, "vm-2");

    ShardOwner home = table.owner(SERVICE, 3).orElseThrow();
    assertEquals("vm-2", home.vm());
    assertEquals(500, home.servesFrom());
    assertTrue(home.claim().compareTo(from.claim()) > 0);
  }

  /**
   * An entry's hand-over comes into the log late: the home that gave the keys away was revoked
   * meanwhile, or another entry's hand-over went first and the new home ran more. The late record's
   * successor knows nothing of that; it must get nothing.
   */
  @Test
  void staleOrDuplicateHandoverIsIgnored() {
    claim("vm-1", 1, 3, 4);
    ShardOwner third = table.owner(SERVICE, 3).orElseThrow();
    handOver(3, third, "vm-2");
    handOver(3, third, "vm-3");
    assertEquals("vm-2", table.owner(SERVICE, 3).orElseThrow().vm());

    ShardOwner fourth = table.owner(SERVICE, 4).orElseThrow();
    revoke("vm-1", 1);
    handOver(4, fourth, "vm-2");
    assertEquals(Optional.empty(), table.owner(SERVICE, 4));
    claim("vm-1", 1, 4);
    handOver(4, fourth, "vm-2");
    assertEquals("vm-1", table.owner(SERVICE, 4).orElseThrow().vm());
  }

  /** A home that is quiet after a death stops as planned: its successor knows no more than it. */
  @Test
  void takeoverDelayMovesWithTheShard() {
    claim("vm-1", 1, 3);
    revoke("vm-1", 1);
    claim("vm-2", 1, 3);
    now = 9_000;
    handOver(3, table.owner(SERVICE, 3).orElseThrow(), "vm-3");

    assertEquals(
        500 + KeyTimeouts.TAKEOVER_DELAY_NANOS, table.owner(SERVICE, 3).orElseThrow().servesFrom());
  }

  @Test
  void revocationOfAnEarlierIncarnationIsIgnored() {
    claim("vm-1", 2, 3);
    revoke("vm-1", 1);

    assertEquals(2, table.owner(SERVICE, 3).orElseThrow().incarnation());
  }

  /** An entry that starts from a snapshot cannot tell when quiet times began: they begin anew. */
  @Test
  void snapshotKeepsOwnersAndRestartsTakeoverDelays() {
    claim("vm-1", 1, 3, 5);
    revoke("vm-1", 1);
    claim("vm-2", 1, 3);
    claim("vm-3", 1, 7);
    KeyShardTable other = new KeyShardTable(() -> 77_000);
    other.restore(table.snapshot());

    assertEquals(
        77_000 + KeyTimeouts.TAKEOVER_DELAY_NANOS,
        other.owner(SERVICE, 3).orElseThrow().servesFrom());
    assertEquals(77_000, other.owner(SERVICE, 7).orElseThrow().servesFrom());
    assertEquals(
        table.owner(SERVICE, 3).orElseThrow().claim(),
        other.owner(SERVICE, 3).orElseThrow().claim());
    apply(other, KeyShardTable.CLAIM, KeyShardTable.claim(SERVICE, "vm-2", 1, List.of(5)));
    assertEquals(
        77_000 + KeyTimeouts.TAKEOVER_DELAY_NANOS,
        other.owner(SERVICE, 5).orElseThrow().servesFrom());
  }

  @Test
  void invalidClaimsAreIgnored() {
    claim("vm-1", 1, -1, 64, 9_999);
    claim("", 1, 3);

    assertEquals(Set.of(), table.owners(SERVICE).keySet());
  }

  @Test
  void assignmentSpreadsShardsOverTargetsOfTheServiceThatDoNotDrain() {
    List<TargetState> targets =
        List.of(
            new TargetState("vm-1", 1, SERVICE, "suva", 8, false),
            new TargetState("vm-2", 1, SERVICE, "suva", 8, false),
            new TargetState("vm-3", 1, SERVICE, "suva", 8, true),
            new TargetState("vm-4", 1, "alerts", "suva", 8, false));
    var claims = ShardAssignment.proposeClaims(SERVICE, Set.of(0, 1), targets);

    assertEquals(Set.of("vm-1", "vm-2"), claims.keySet());
    int total = claims.values().stream().mapToInt(List::size).sum();
    assertEquals(KeyShards.COUNT - 2, total);
    claims.values().forEach(shards -> assertTrue(shards.size() > KeyShards.COUNT / 5));
  }

  /** An entry loses its network: it must not take the homes' shards, which others still hear. */
  @Test
  void entryThatReachesFewVmsRevokesNoOwner() {
    assertFalse(ShardAssignment.mayRevoke(11, 0));
    assertFalse(ShardAssignment.mayRevoke(7, 4));
    assertTrue(ShardAssignment.mayRevoke(4, 7));
    assertTrue(ShardAssignment.mayRevoke(1, 1));
  }
}
