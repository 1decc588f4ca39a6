package io.marigoldsail.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import io.marigoldsail.log.Fold;
import io.marigoldsail.log.LogEntry;
import io.marigoldsail.log.Position;
import io.marigoldsail.time.MonotonicClock;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The owners of all shards, computed from the log stream {@code keys}.
 *
 * <p>A claim takes effect for those of its shards that have no owner at its position in the log, so
 * competing entries agree on one owner. A shard becomes free only by a revocation, and is moved
 * from its owner only by a handover. The next owner of a revoked shard may run its keys only after
 * a takeover delay, counted from when this process read the revocation. The delay covers the time
 * that the former owner may continue to run keys under its lease, plus the time in which requests
 * that it ran may be repeated.
 *
 * <p>Thread-safe.
 */
public final class KeyShardTable implements Fold {
  /** The name of the stream. */
  public static final String STREAM = "keys";

  /** Record type: shards are claimed for a side process. */
  public static final String CLAIM = "key-claim";

  /** Record type: a side process loses all its shards. */
  public static final String REVOKE = "key-revoke";

  /** Record type: a shard of a stopping side process moves to a successor. */
  public static final String HANDOVER = "key-handover";

  /** Record type: a record that only confirms the current end of the log. */
  public static final String HEARTBEAT = "key-heartbeat";

  private record Shard(String service, int number) implements Comparable<Shard> {
    @Override
    public int compareTo(Shard other) {
      int byService = service.compareTo(other.service);
      return byService != 0 ? byService : Integer.compare(number, other.number);
    }
  }

  private final MonotonicClock clock;
  private final Map<Shard, ShardOwner> owners = new TreeMap<>();
  private final Map<Shard, Long> servesFrom = new TreeMap<>();

  /**
   * Creates a table without owners.
   *
   * @param clock this process's monotonic clock
   */
  public KeyShardTable(MonotonicClock clock) {
    this.clock = requireNonNull(clock, "clock");
  }

  /** Returns the body of a claim record. */
  public static JsonNode claim(
      String service, String vm, long incarnation, Collection<Integer> shards) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("service", service).put("vm", vm).put("incarnation", incarnation);
    ArrayNode numbers = body.putArray("shards");
    shards.forEach(numbers::add);
    return body;
  }

  /** Returns the body of a revocation record. */
  public static JsonNode revocation(String vm, long incarnation) {
    return JsonNodeFactory.instance.objectNode().put("vm", vm).put("incarnation", incarnation);
  }

  /**
   * Returns the body of a handover record, which moves a shard to a successor that already has its
   * keys.
   *
   * @param service name of the service
   * @param shard number of the shard
   * @param from the current owner, with the claim under which it handed over the keys
   * @param vm VM of the successor
   * @param incarnation incarnation of the successor
   */
  public static JsonNode handover(
      String service, int shard, ShardOwner from, String vm, long incarnation) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("service", service).put("shard", shard);
    body.put("fromVm", from.vm()).put("fromIncarnation", from.incarnation());
    body.put("offset", from.claim().offset()).put("index", from.claim().index());
    return body.put("vm", vm).put("incarnation", incarnation);
  }

  /** Returns the body of a heartbeat record. */
  public static JsonNode heartbeat() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns the owner of the shard, or empty if it has none. */
  public synchronized Optional<ShardOwner> owner(String service, int shard) {
    return Optional.ofNullable(owners.get(new Shard(service, shard)));
  }

  /** Returns the owners of the service's shards, by shard. */
  public synchronized Map<Integer, ShardOwner> owners(String service) {
    ImmutableMap.Builder<Integer, ShardOwner> found = ImmutableMap.builder();
    owners.forEach(
        (shard, owner) -> {
          if (shard.service().equals(service)) {
            found.put(shard.number(), owner);
          }
        });
    return found.buildOrThrow();
  }

  /** Returns the services with at least one owned shard. */
  public synchronized Collection<String> services() {
    return owners.keySet().stream().map(Shard::service).distinct().toList();
  }

  @Override
  public synchronized void apply(LogEntry entry) {
    switch (entry.type()) {
      case CLAIM -> claim(entry.position(), entry.body());
      case REVOKE -> revoke(entry.body());
      case HANDOVER -> handOver(entry.position(), entry.body());
      default -> {
        // A heartbeat has no effect on the table; only its log position matters.
      }
    }
  }

  private void claim(Position position, JsonNode body) {
    String service = body.path("service").asText();
    String vm = body.path("vm").asText();
    if (service.isEmpty() || vm.isEmpty()) {
      return;
    }
    for (JsonNode number : body.path("shards")) {
      Shard shard = new Shard(service, number.asInt(-1));
      if (shard.number() < 0 || shard.number() >= KeyShards.COUNT || owners.containsKey(shard)) {
        continue;
      }
      long servesFromNanos = servesFrom.getOrDefault(shard, clock.nanos());
      owners.put(
          shard, new ShardOwner(vm, body.path("incarnation").asLong(), position, servesFromNanos));
    }
  }

  /**
   * Moves a shard to a successor that already has its keys, without a takeover delay.
   *
   * <p>The record is ignored unless the shard is still owned under the claim under which the keys
   * were handed over. A stale or duplicate record, after a revocation or another handover, would
   * name a successor that lacks the keys run since. A takeover delay that the owner has not
   * finished moves with the shard, since the successor lacks those keys as well.
   */
  private void handOver(Position position, JsonNode body) {
    Shard shard = new Shard(body.path("service").asText(), body.path("shard").asInt(-1));
    ShardOwner owner = owners.get(shard);
    String vm = body.path("vm").asText();
    if (owner == null
        || vm.isEmpty()
        || !owner.vm().equals(body.path("fromVm").asText())
        || owner.incarnation() != body.path("fromIncarnation").asLong()
        || owner.claim().offset() != body.path("offset").asLong(-1)
        || owner.claim().index() != body.path("index").asInt(-1)) {
      return;
    }
    long incarnation = body.path("incarnation").asLong();
    owners.put(shard, new ShardOwner(vm, incarnation, position, owner.servesFrom()));
  }

  private void revoke(JsonNode body) {
    String vm = body.path("vm").asText();
    long incarnation = body.path("incarnation").asLong();
    long servesFromNanos = clock.nanos() + KeyTimeouts.TAKEOVER_DELAY_NANOS;
    owners
        .entrySet()
        .removeIf(
            entry -> {
              ShardOwner owner = entry.getValue();
              boolean revoked = owner.vm().equals(vm) && owner.incarnation() == incarnation;
              if (revoked) {
                servesFrom.put(entry.getKey(), servesFromNanos);
              }
              return revoked;
            });
  }

  @Override
  public synchronized JsonNode snapshot() {
    ArrayNode all = JsonNodeFactory.instance.arrayNode();
    owners.forEach(
        (shard, owner) -> {
          ObjectNode node = all.addObject();
          node.put("service", shard.service()).put("shard", shard.number());
          node.put("vm", owner.vm()).put("incarnation", owner.incarnation());
          node.put("offset", owner.claim().offset()).put("index", owner.claim().index());
          node.put("inherited", servesFrom.containsKey(shard));
        });
    servesFrom.forEach(
        (shard, time) -> {
          if (!owners.containsKey(shard)) {
            ObjectNode node = all.addObject();
            node.put("service", shard.service()).put("shard", shard.number());
            node.put("inherited", true);
          }
        });
    return all;
  }

  /**
   * Restores a snapshot. Takeover delays restart, since their start at another process is unknown.
   */
  @Override
  public synchronized void restore(JsonNode snapshot) {
    owners.clear();
    servesFrom.clear();
    long servesFromNanos = clock.nanos() + KeyTimeouts.TAKEOVER_DELAY_NANOS;
    for (JsonNode node : snapshot) {
      Shard shard = new Shard(node.path("service").asText(), node.path("shard").asInt());
      boolean inherited = node.path("inherited").asBoolean();
      if (inherited) {
        servesFrom.put(shard, servesFromNanos);
      }
      if (node.hasNonNull("vm")) {
        Position claim = new Position(node.path("offset").asLong(), node.path("index").asInt());
        long from = inherited ? servesFromNanos : clock.nanos();
        owners.put(
            shard,
            new ShardOwner(
                node.path("vm").asText(), node.path("incarnation").asLong(), claim, from));
      }
    }
  }
}
