package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.daemon.link.EntryLinks;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.TargetState;
import io.marigoldsail.error.Result;
import io.marigoldsail.idempotency.HomePlan;
import io.marigoldsail.idempotency.KeyHome;
import io.marigoldsail.idempotency.KeyShardTable;
import io.marigoldsail.idempotency.KeyTerms;
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
 * <p>Every entry does this independently; the order of their records in the log decides. Runs on the
 * loop.
 */
public final class KeyHomes implements AutoCloseable {
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

  /** Period of lease confirmations, a third of the lease; changes of owners are confirmed sooner. */
  private static final long VOUCH_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** How long changes of owners are batched before their leases are confirmed. */
  private static final long SOON_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static final int MAX_APPENDS = 32;

  private record Member(String vm, long incarnation) {}

  private final LinkLoop loop;
  private final KeyShardTable table;
  private final KeyLog log;
  private final EntryLinks links;
  private final Map<Member, Long> missingSince = new HashMap<>();
  private final AtomicInteger appends = new AtomicInteger();
  private Map<String, Map<Integer, KeyHome>> vouchedFor = Map.of();
  private long vouchAt;
  private boolean tendingSoon;
  private Future<?> tick;

  /**
   * Creates a coordinator that is not started.
   *
   * @param loop the loop that all state is confined to
   * @param table the owners of shards according to the stream
   * @param log appends to the stream
   * @param links the live members and the connections to them
   */
  public KeyHomes(LinkLoop loop, KeyShardTable table, KeyLog log, EntryLinks links) {
    this.loop = requireNonNull(loop, "loop");
    this.table = requireNonNull(table, "table");
    this.log = requireNonNull(log, "log");
    this.links = requireNonNull(links, "links");
    links.addKeyListener(new HandoverRelay(loop, table, log, links, this::tendSoon)::received);
  }

  /** Starts to claim, revoke and confirm periodically. */
  public void start() {
    tick = loop.repeat(this::tend, TICK_NANOS);
  }

  @Override
  public void close() {
    tick.cancel(false);
  }

  /** Confirms a successor's leases soon: until then it rejects the keys of its new shards. */
  private void tendSoon() {
    if (!tendingSoon) {
      tendingSoon = true;
      loop.schedule(
          () -> {
            tendingSoon = false;
            tend();
          },
          SOON_NANOS);
    }
  }

  private void tend() {
    // During an outage of the log, appends stay pending, and no further ones could succeed.
    if (appends.get() > MAX_APPENDS) {
      return;
    }
    List<TargetState> targets = links.members().targets();
    Set<String> services = new HashSet<>(table.services());
    targets.forEach(target -> services.add(target.service()));
    Set<Member> owners = new HashSet<>();
    Map<String, Map<Integer, KeyHome>> allOwners = new HashMap<>();
    for (String service : services) {
      Map<Integer, KeyHome> owned = table.homes(service);
      allOwners.put(service, owned);
      owned.values().forEach(owner -> owners.add(new Member(owner.vm(), owner.incarnation())));
      claim(service, owned.keySet(), targets);
    }
    revoke(owners);
    long now = loop.now();
    if (!owners.isEmpty() && (!allOwners.equals(vouchedFor) || vouchAt - now <= 0)) {
      vouchedFor = allOwners;
      vouchAt = now + VOUCH_NANOS;
      vouch();
    }
  }

  private void claim(String service, Set<Integer> owned, List<TargetState> targets) {
    Map<String, List<Integer>> claims = HomePlan.claims(service, owned, targets);
    for (TargetState target : targets) {
      List<Integer> shards = claims.get(target.vm());
      if (shards != null) {
        append(
            KeyShardTable.CLAIM,
            KeyShardTable.claim(service, target.vm(), target.incarnation(), shards));
      }
    }
  }

  private void revoke(Set<Member> owners) {
    long now = loop.now();
    missingSince.keySet().retainAll(owners);
    int missing = (int) owners.stream().filter(owner -> !isHeard(owner)).count();
    boolean mayRevoke = HomePlan.mayRevoke(missing, links.members().members().size());
    for (Member owner : owners) {
      Optional<Announcement> current = links.members().member(owner.vm());
      if (isHeard(owner)) {
        missingSince.remove(owner);
        continue;
      }
      long since = missingSince.computeIfAbsent(owner, unreachable -> now);
      boolean replaced = current.isPresent() && current.get().processIncarnation() > owner.incarnation();
      if (replaced || (mayRevoke && now - since > KeyTerms.REVOKE_AFTER_NANOS)) {
        append(KeyShardTable.REVOKE, KeyShardTable.revocation(owner.vm(), owner.incarnation()));
      }
    }
  }

  private boolean isHeard(Member owner) {
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
  private void vouch() {
    long sentAt = loop.now();
    append(KeyShardTable.HEARTBEAT, KeyShardTable.heartbeat())
        .thenAccept(
            result -> {
              if (result.isOk()) {
                loop.run(() -> vouchAsOf(sentAt));
              }
            });
  }

  private void vouchAsOf(long sentAt) {
    long now = loop.now();
    Map<Member, KeyLeases.Builder> leases = new HashMap<>();
    for (String service : table.services()) {
      table
          .homes(service)
          .forEach(
              (shard, owner) ->
                  leases
                      .computeIfAbsent(
                          new Member(owner.vm(), owner.incarnation()),
                          member -> KeyLeases.newBuilder())
                      .addLeases(lease(shard, owner, now)));
    }
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(now - sentAt) + 1;
    leases.forEach(
        (member, confirmation) ->
            links.sendTo(
                member.vm(),
                Frame.newBuilder()
                    .setKeyLeases(
                        confirmation.setProcessIncarnation(member.incarnation()).setAgeMillis(ageMillis))
                    .build()));
  }

  private static KeyLease lease(int shard, KeyHome owner, long now) {
    long quarantineMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, owner.quietUntil() - now));
    return KeyLease.newBuilder()
        .setClaim(claim(shard, owner))
        .setQuietMillis(quarantineMillis == 0 ? 0 : quarantineMillis + 1)
        .build();
  }

  static KeyClaim claim(int shard, KeyHome owner) {
    return KeyClaim.newBuilder()
        .setShard(shard)
        .setOffset(owner.claim().offset())
        .setIndex(owner.claim().index())
        .build();
  }

  private CompletableFuture<Result<Position>> append(String type, JsonNode body) {
    appends.incrementAndGet();
    return log.append(type, body, loop.now() + TICK_NANOS)
        .whenComplete((result, failure) -> appends.decrementAndGet());
  }
}
