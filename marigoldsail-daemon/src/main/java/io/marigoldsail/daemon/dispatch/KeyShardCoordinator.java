package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.daemon.link.EntryLinks;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.TargetState;
import io.marigoldsail.error.Result;
import io.marigoldsail.idempotency.KeyShardTable;
import io.marigoldsail.idempotency.KeyTimeouts;
import io.marigoldsail.idempotency.ShardAssignment;
import io.marigoldsail.idempotency.ShardOwner;
import io.marigoldsail.log.Position;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.KeyClaim;
import io.marigoldsail.protocol.KeyLease;
import io.marigoldsail.protocol.KeyLeases;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Coordinates in an entry which side process owns each shard of idempotency keys: claims shards
 * without an owner for reachable targets, revokes owners that are gone, and confirms the leases of
 * current owners.
 *
 * <p>Every entry does this independently; the order of their records in the log decides. Runs on
 * the loop.
 */
public final class KeyShardCoordinator implements AutoCloseable {
  /** Appends to the stream {@code keys}; completes once the record has been read back. */
  @FunctionalInterface
  public interface KeyLog {
    /**
     * Appends a record.
     *
     * @param type the type of the record
     * @param body the content of the record
     * @param deadline when the append is abandoned, in nanoseconds of the process's monotonic clock
     */
    CompletableFuture<Result<Position>> append(String type, JsonNode body, long deadline);
  }

  private static final long TICK_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Period of lease confirmations, a third of the lease; owner changes are confirmed sooner. */
  private static final long CONFIRM_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** How long changes of owners are batched before their leases are confirmed. */
  private static final long CHANGE_BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static final int MAX_PENDING_APPENDS = 32;

  private record OwnerProcess(String vm, long incarnation) {}

  private final LinkLoop loop;
  private final KeyShardTable table;
  private final KeyLog log;
  private final EntryLinks links;
  private final Map<OwnerProcess, Long> unreachableSince = new HashMap<>();
  private final AtomicInteger pendingAppends = new AtomicInteger();
  private Map<String, Map<Integer, ShardOwner>> confirmedOwners = Map.of();
  private long confirmDueAt;
  private boolean reconcileScheduled;
  private Future<?> tick;

  /**
   * Creates a coordinator that is not started.
   *
   * @param loop the loop that all state is confined to
   * @param table the owners of shards according to the stream
   * @param log appends to the stream
   * @param links the live members and the connections to them
   */
  public KeyShardCoordinator(LinkLoop loop, KeyShardTable table, KeyLog log, EntryLinks links) {
    this.loop = requireNonNull(loop, "loop");
    this.table = requireNonNull(table, "table");
    this.log = requireNonNull(log, "log");
    this.links = requireNonNull(links, "links");
    links.addKeyListener(new HandoverRelay(loop, table, log, links, this::reconcileSoon)::received);
  }

  /** Starts to claim, revoke and confirm periodically. */
  public void start() {
    tick = loop.repeat(this::reconcile, TICK_NANOS);
  }

  @Override
  public void close() {
    tick.cancel(false);
  }

  /**
   * Schedules a check that confirms a successor's leases; until then the successor rejects the keys
   * of its new shards.
   */
  private void reconcileSoon() {
    if (!reconcileScheduled) {
      reconcileScheduled = true;
      loop.schedule(
          () -> {
            reconcileScheduled = false;
            reconcile();
          },
          CHANGE_BATCH_NANOS);
    }
  }

  private void reconcile() {
    // During an outage of the log, appends stay pending, and no further ones could succeed.
    if (pendingAppends.get() > MAX_PENDING_APPENDS) {
      return;
    }
    List<TargetState> targets = links.members().targets();
    Set<String> services = new HashSet<>(table.services());
    targets.forEach(target -> services.add(target.service()));
    Set<OwnerProcess> owners = new HashSet<>();
    Map<String, Map<Integer, ShardOwner>> allOwners = new HashMap<>();
    for (String service : services) {
      Map<Integer, ShardOwner> owned = table.owners(service);
      allOwners.put(service, owned);
      owned
          .values()
          .forEach(owner -> owners.add(new OwnerProcess(owner.vm(), owner.incarnation())));
      claim(service, owned.keySet(), targets);
    }
    revoke(owners);
    long now = loop.now();
    if (!owners.isEmpty() && (!allOwners.equals(confirmedOwners) || confirmDueAt - now <= 0)) {
      confirmedOwners = allOwners;
      confirmDueAt = now + CONFIRM_INTERVAL_NANOS;
      confirmLeases();
    }
  }

  private void claim(String service, Set<Integer> owned, List<TargetState> targets) {
    Map<String, List<Integer>> claims = ShardAssignment.proposeClaims(service, owned, targets);
    for (TargetState target : targets) {
      List<Integer> shards = claims.get(target.vm());
      if (shards != null) {
        append(
            KeyShardTable.CLAIM,
            KeyShardTable.claim(service, target.vm(), target.incarnation(), shards));
      }
    }
  }

  private void revoke(Set<OwnerProcess> owners) {
    long now = loop.now();
    unreachableSince.keySet().retainAll(owners);
    int unreachableCount = (int) owners.stream().filter(owner -> !isReachable(owner)).count();
    boolean mayRevoke =
        ShardAssignment.mayRevoke(unreachableCount, links.members().members().size());
    for (OwnerProcess owner : owners) {
      Optional<Announcement> current = links.members().member(owner.vm());
      if (isReachable(owner)) {
        unreachableSince.remove(owner);
        continue;
      }
      long since = unreachableSince.computeIfAbsent(owner, unreachable -> now);
      boolean replaced =
          current.isPresent() && current.get().processIncarnation() > owner.incarnation();
      if (replaced || (mayRevoke && now - since > KeyTimeouts.REVOKE_AFTER_NANOS)) {
        append(KeyShardTable.REVOKE, KeyShardTable.revocation(owner.vm(), owner.incarnation()));
      }
    }
  }

  private boolean isReachable(OwnerProcess owner) {
    return links
        .members()
        .member(owner.vm())
        .filter(announced -> announced.processIncarnation() == owner.incarnation())
        .isPresent();
  }

  /**
   * Reads the log up to an own record, then confirms leases as of the moment before the record was
   * sent.
   */
  private void confirmLeases() {
    long sentAt = loop.now();
    append(KeyShardTable.HEARTBEAT, KeyShardTable.heartbeat())
        .thenAccept(
            result -> {
              if (result.isOk()) {
                loop.run(() -> sendConfirmations(sentAt));
              }
            });
  }

  private void sendConfirmations(long sentAt) {
    long now = loop.now();
    Map<OwnerProcess, KeyLeases.Builder> leases = new HashMap<>();
    for (String service : table.services()) {
      table
          .owners(service)
          .forEach(
              (shard, owner) ->
                  leases
                      .computeIfAbsent(
                          new OwnerProcess(owner.vm(), owner.incarnation()),
                          process -> KeyLeases.newBuilder())
                      .addLeases(lease(shard, owner, now)));
    }
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(now - sentAt) + 1;
    leases.forEach(
        (process, confirmation) ->
            links.sendTo(
                process.vm(),
                Frame.newBuilder()
                    .setKeyLeases(
                        confirmation
                            .setProcessIncarnation(process.incarnation())
                            .setAgeMillis(ageMillis))
                    .build()));
  }

  private static KeyLease lease(int shard, ShardOwner owner, long now) {
    long takeoverDelayMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, owner.servesFrom() - now));
    return KeyLease.newBuilder()
        .setClaim(claim(shard, owner))
        .setQuietMillis(takeoverDelayMillis == 0 ? 0 : takeoverDelayMillis + 1)
        .build();
  }

  static KeyClaim claim(int shard, ShardOwner owner) {
    return KeyClaim.newBuilder()
        .setShard(shard)
        .setOffset(owner.claim().offset())
        .setIndex(owner.claim().index())
        .build();
  }

  private CompletableFuture<Result<Position>> append(String type, JsonNode body) {
    pendingAppends.incrementAndGet();
    return log.append(type, body, loop.now() + TICK_NANOS)
        .whenComplete((result, failure) -> pendingAppends.decrementAndGet());
  }
}
