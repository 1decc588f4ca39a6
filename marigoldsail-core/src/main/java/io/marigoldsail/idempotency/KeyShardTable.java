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
 * The homes of all shards, folded from the stream {@code keys}.
 *
 * <p>A claim holds for those of its shards that nobody holds at its place in the log, so entries
 * that race agree on one home. Only a revocation frees shards, and only a hand-over moves one that
 * is held. Whoever claims a freed shard gets it with a quiet time, counted from when this process
 * read the revocation: as long as its former home may still run, by its lease, and as long as what
 * it ran may be asked for again. Safe for any thread.
 */
public final class KeyShardTable implements Fold {
  /** The name of the stream. */
  public static final String STREAM = "keys";

  /** The type of a record by which shards are claimed for a side process. */
  public static final String CLAIM = "key-claim";

  /** The type of a record by which a side process loses all its shards. */
  public static final String REVOKE = "key-revoke";

  /** The type of a record by which a stopping side process's shard goes to a successor. */
  public static final String HANDOVER = "key-handover";

  /** The type of a record that only gives evidence of the log's order. */
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
   * Creates a table without homes.
   *
   * @param clock this process's clock
   */
  public KeyShardTable(MonotonicClock clock) {
    this.clock = requireNonNull(clock, "clock");
  }

  /** Returns the body of a claim. */
  public static JsonNode claim(
      String service, String vm, long incarnation, Collection<Integer> shards) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("service", service).put("vm", vm).put("incarnation", incarnation);
    ArrayNode numbers = body.putArray("shards");
    shards.forEach(numbers::add);
    return body;
  }

  /** Returns the body of a revocation. */
  public static JsonNode revocation(String vm, long incarnation) {
    return JsonNodeFactory.instance.objectNode().put("vm", vm).put("incarnation", incarnation);
  }

  /**
   * Returns the body of a record that gives a shard to a successor, which holds its keys.
   *
   * @param service the service
   * @param shard the shard
   * @param from the home that gives it away, by the claim under which it did
   * @param vm the successor's VM
   * @param incarnation the successor's incarnation
   */
  public static JsonNode handover(
      String service, int shard, ShardOwner from, String vm, long incarnation) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("service", service).put("shard", shard);
    body.put("fromVm", from.vm()).put("fromIncarnation", from.incarnation());
    body.put("offset", from.claim().offset()).put("index", from.claim().index());
    return body.put("vm", vm).put("incarnation", incarnation);
  }

  /** Returns the body of a heartbeat. */
  public static JsonNode heartbeat() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns the home of the shard, or empty while nobody holds it. */
  public synchronized Optional<ShardOwner> owner(String service, int shard) {
    return Optional.ofNullable(owners.get(new Shard(service, shard)));
  }

  /** Returns the homes of the service's shards, by shard. */
  public synchronized Map<Integer, ShardOwner> owners(String service) {
    ImmutableMap.Builder<Integer, ShardOwner> found = ImmutableMap.builder();
    owners.forEach(
        (shard, home) -> {
          if (shard.service().equals(service)) {
            found.put(shard.number(), home);
          }
        });
    return found.buildOrThrow();
  }

  /** Returns the services that have shards with homes. */
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
        // Heartbeats matter by their place in the log alone.
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
      long quiet = servesFrom.getOrDefault(shard, clock.nanos());
      owners.put(shard, new ShardOwner(vm, body.path("incarnation").asLong(), position, quiet));
    }
  }

  /**
   * Moves a shard to the successor that holds its keys, without a quiet time.
   *
   * <p>Only where it is still held by the very claim under which the keys were given away: a record
   * that comes late or twice, after a revocation or another hand-over, would name a successor that
   * knows nothing of what ran since. A quiet time that its holder had yet to wait out goes with it,
   * for of those keys the successor knows as little.
   */
  private void handOver(Position position, JsonNode body) {
    Shard shard = new Shard(body.path("service").asText(), body.path("shard").asInt(-1));
    ShardOwner held = owners.get(shard);
    String vm = body.path("vm").asText();
    if (held == null
        || vm.isEmpty()
        || !held.vm().equals(body.path("fromVm").asText())
        || held.incarnation() != body.path("fromIncarnation").asLong()
        || held.claim().offset() != body.path("offset").asLong(-1)
        || held.claim().index() != body.path("index").asInt(-1)) {
      return;
    }
    long incarnation = body.path("incarnation").asLong();
    owners.put(shard, new ShardOwner(vm, incarnation, position, held.servesFrom()));
  }

  private void revoke(JsonNode body) {
    String vm = body.path("vm").asText();
    long incarnation = body.path("incarnation").asLong();
    long quiet = clock.nanos() + KeyTimeouts.TAKEOVER_DELAY_NANOS;
    owners
        .entrySet()
        .removeIf(
            entry -> {
              ShardOwner home = entry.getValue();
              boolean revoked = home.vm().equals(vm) && home.incarnation() == incarnation;
              if (revoked) {
                servesFrom.put(entry.getKey(), quiet);
              }
              return revoked;
            });
  }

  @Override
  public synchronized JsonNode snapshot() {
    ArrayNode all = JsonNodeFactory.instance.arrayNode();
    owners.forEach(
        (shard, home) -> {
          ObjectNode node = all.addObject();
          node.put("service", shard.service()).put("shard", shard.number());
          node.put("vm", home.vm()).put("incarnation", home.incarnation());
          node.put("offset", home.claim().offset()).put("index", home.claim().index());
          node.put("inherited", servesFrom.containsKey(shard));
        });
    servesFrom.forEach(
        (shard, until) -> {
          if (!owners.containsKey(shard)) {
            ObjectNode node = all.addObject();
            node.put("service", shard.service()).put("shard", shard.number());
            node.put("inherited", true);
          }
        });
    return all;
  }

  /** Restores a snapshot; quiet times begin anew, since when they began elsewhere is not known. */
  @Override
  public synchronized void restore(JsonNode snapshot) {
    owners.clear();
    servesFrom.clear();
    long quiet = clock.nanos() + KeyTimeouts.TAKEOVER_DELAY_NANOS;
    for (JsonNode node : snapshot) {
      Shard shard = new Shard(node.path("service").asText(), node.path("shard").asInt());
      boolean inherited = node.path("inherited").asBoolean();
      if (inherited) {
        servesFrom.put(shard, quiet);
      }
      if (node.hasNonNull("vm")) {
        Position claim = new Position(node.path("offset").asLong(), node.path("index").asInt());
        long until = inherited ? quiet : clock.nanos();
        owners.put(
            shard,
            new ShardOwner(
                node.path("vm").asText(), node.path("incarnation").asLong(), claim, until));
      }
    }
  }
}
