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
 * An entry's part in giving every shard of idempotency keys a home: it claims shards that nobody
 * holds for targets that it hears, revokes homes that are gone, and brings homes the evidence that
 * they still are.
 *
 * <p>Every entry does so by itself; the log decides between them. Runs on the loop.
 */
public final class KeyShardCoordinator implements AutoCloseable {
  /** Appends to the stream {@code keys}; completes once the record was read back. */
  @FunctionalInterface
  public interface KeyLog {
    /** Appends a record unless the deadline, on the process's monotonic clock, passes first. */
    CompletableFuture<Result<Position>> append(String type, JsonNode body, long deadline);
  }

  private static final long TICK_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** How often homes get evidence, besides at once when they change; a third of the lease. */
  private static final long CONFIRM_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** How long a change of homes waits for more of them before homes get evidence of it. */
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
   * Creates homes that are not tended yet.
   *
   * @param loop the thread
   * @param table the fold of the stream
   * @param log appends to the stream
   * @param links who is heard, and the way to them
   */
  public KeyShardCoordinator(LinkLoop loop, KeyShardTable table, KeyLog log, EntryLinks links) {
    this.loop = requireNonNull(loop, "loop");
    this.table = requireNonNull(table, "table");
    this.log = requireNonNull(log, "log");
    this.links = requireNonNull(links, "links");
    links.addKeyListener(new HandoverRelay(loop, table, log, links, this::reconcileSoon)::received);
  }

  /** Begins to claim, to revoke and to vouch. */
  public void start() {
    tick = loop.repeat(this::reconcile, TICK_NANOS);
  }

  @Override
  public void close() {
    tick.cancel(false);
  }

  /** Brings a successor its evidence at once: until then keys of its shards are refused. */
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
    // While the log is away appends pile up unanswered; there is nothing to tend then.
    if (pendingAppends.get() > MAX_PENDING_APPENDS) {
      return;
    }
    List<TargetState> targets = links.members().targets();
    Set<String> services = new HashSet<>(table.services());
    targets.forEach(target -> services.add(target.service()));
    Set<OwnerProcess> homes = new HashSet<>();
    Map<String, Map<Integer, ShardOwner>> all = new HashMap<>();
    for (String service : services) {
      Map<Integer, ShardOwner> held = table.owners(service);
      all.put(service, held);
      held.values().forEach(home -> homes.add(new OwnerProcess(home.vm(), home.incarnation())));
      claim(service, held.keySet(), targets);
    }
    revoke(homes);
    long now = loop.now();
    if (!homes.isEmpty() && (!all.equals(confirmedOwners) || confirmDueAt - now <= 0)) {
      confirmedOwners = all;
      confirmDueAt = now + CONFIRM_INTERVAL_NANOS;
      confirmLeases();
    }
  }

  private void claim(String service, Set<Integer> held, List<TargetState> targets) {
    Map<String, List<Integer>> claims = ShardAssignment.proposeClaims(service, held, targets);
    for (TargetState target : targets) {
      List<Integer> shards = claims.get(target.vm());
      if (shards != null) {
        append(
            KeyShardTable.CLAIM,
            KeyShardTable.claim(service, target.vm(), target.incarnation(), shards));
      }
    }
  }

  private void revoke(Set<OwnerProcess> homes) {
    long now = loop.now();
    unreachableSince.keySet().retainAll(homes);
    int missing = (int) homes.stream().filter(home -> !isReachable(home)).count();
    boolean trusted = ShardAssignment.mayRevoke(missing, links.members().members().size());
    for (OwnerProcess home : homes) {
      Optional<Announcement> heard = links.members().member(home.vm());
      if (isReachable(home)) {
        unreachableSince.remove(home);
        continue;
      }
      long since = unreachableSince.computeIfAbsent(home, silent -> now);
      boolean replaced = heard.isPresent() && heard.get().processIncarnation() > home.incarnation();
      if (replaced || (trusted && now - since > KeyTimeouts.REVOKE_AFTER_NANOS)) {
        append(KeyShardTable.REVOKE, KeyShardTable.revocation(home.vm(), home.incarnation()));
      }
    }
  }

  private boolean isReachable(OwnerProcess home) {
    return links
        .members()
        .member(home.vm())
        .filter(heard -> heard.processIncarnation() == home.incarnation())
        .isPresent();
  }

  /** Reads the log up to an own record and vouches as of the moment before it was sent. */
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
              (shard, home) ->
                  leases
                      .computeIfAbsent(
                          new OwnerProcess(home.vm(), home.incarnation()),
                          member -> KeyLeases.newBuilder())
                      .addLeases(lease(shard, home, now)));
    }
    long age = TimeUnit.NANOSECONDS.toMillis(now - sentAt) + 1;
    leases.forEach(
        (member, evidence) ->
            links.sendTo(
                member.vm(),
                Frame.newBuilder()
                    .setKeyLeases(
                        evidence.setProcessIncarnation(member.incarnation()).setAgeMillis(age))
                    .build()));
  }

  private static KeyLease lease(int shard, ShardOwner home, long now) {
    long quietMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, home.servesFrom() - now));
    return KeyLease.newBuilder()
        .setClaim(claim(shard, home))
        .setQuietMillis(quietMillis == 0 ? 0 : quietMillis + 1)
        .build();
  }

  static KeyClaim claim(int shard, ShardOwner home) {
    return KeyClaim.newBuilder()
        .setShard(shard)
        .setOffset(home.claim().offset())
        .setIndex(home.claim().index())
        .build();
  }

  private CompletableFuture<Result<Position>> append(String type, JsonNode body) {
    pendingAppends.incrementAndGet();
    return log.append(type, body, loop.now() + TICK_NANOS)
        .whenComplete((result, failure) -> pendingAppends.decrementAndGet());
  }
}
