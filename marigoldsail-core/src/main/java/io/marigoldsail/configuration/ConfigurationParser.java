package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.json.Json;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Turns a merged document that passed its checks into a {@link Configuration}, and back with all
 * defaults filled in. Stateless, safe for any thread.
 */
final class ConfigurationParser {
  private ConfigurationParser() {}

  static Configuration parse(long revision, String site, JsonNode merged) {
    return new Configuration(
        revision,
        site,
        parseByName(merged.path("services"), ConfigurationParser::service),
        parseByName(merged.path("teams"), ConfigurationParser::team),
        leases(merged.path("leases")),
        guard(merged.path("guard")));
  }

  private static <T> Map<String, T> parseByName(JsonNode parent, Function<JsonNode, T> parse) {
    Map<String, T> values = new TreeMap<>();
    parent.properties().forEach(child -> values.put(child.getKey(), parse.apply(child.getValue())));
    return values;
  }

  private static ServiceConfiguration service(JsonNode node) {
    ServiceConfiguration defaults = ServiceConfiguration.DEFAULT;
    return new ServiceConfiguration(
        node.path("targetDelayMillis").asLong(defaults.targetDelayMillis()),
        node.path("defaultDeadlineMillis").asLong(defaults.defaultDeadlineMillis()),
        node.path("maxWaiting").asInt(defaults.maxWaiting()),
        node.path("targetDetectsRepeats").asBoolean(defaults.targetDetectsRepeats()),
        node.path("tailLatencyGoalMillis").asLong(defaults.tailLatencyGoalMillis()));
  }

  private static TeamConfiguration team(JsonNode node) {
    TeamConfiguration defaults = TeamConfiguration.DEFAULT;
    return new TeamConfiguration(
        node.path("share").asDouble(defaults.share()),
        node.path("maxMilliProcessors").asLong(defaults.maxMilliProcessors()),
        node.path("maxMemoryMebibytes").asLong(defaults.maxMemoryMebibytes()),
        node.path("maxAccelerators").asLong(defaults.maxAccelerators()));
  }

  private static LeaseConfiguration leases(JsonNode node) {
    LeaseConfiguration defaults = LeaseConfiguration.DEFAULT;
    return new LeaseConfiguration(
        node.at("/latencyCritical/leaseMillis").asLong(defaults.latencyCriticalMillis()),
        node.at("/batch/leaseMillis").asLong(defaults.batchMillis()));
  }

  private static GuardConfiguration guard(JsonNode node) {
    GuardConfiguration defaults = GuardConfiguration.DEFAULT;
    return new GuardConfiguration(
        node.at("/weights/tailLatency").asDouble(defaults.tailLatencyWeight()),
        node.at("/weights/evictions").asDouble(defaults.evictionsWeight()),
        node.at("/weights/throughput").asDouble(defaults.throughputWeight()),
        node.path("evictionsPerHour").asInt(defaults.evictionsPerHour()));
  }

  static ObjectNode write(Configuration configuration) {
    ObjectNode node = Json.object();
    ObjectNode services = node.putObject("services");
    configuration.services().forEach((name, value) -> write(value, services.putObject(name)));
    ObjectNode teams = node.putObject("teams");
    configuration.teams().forEach((name, value) -> write(value, teams.putObject(name)));
    ObjectNode leases = node.putObject("leases");
    leases
        .putObject("latencyCritical")
        .put("leaseMillis", configuration.leases().latencyCriticalMillis());
    leases.putObject("batch").put("leaseMillis", configuration.leases().batchMillis());
    GuardConfiguration guard = configuration.guard();
    ObjectNode guardNode = node.putObject("guard");
    guardNode
        .putObject("weights")
        .put("tailLatency", guard.tailLatencyWeight())
        .put("evictions", guard.evictionsWeight())
        .put("throughput", guard.throughputWeight());
    guardNode.put("evictionsPerHour", guard.evictionsPerHour());
    return node;
  }

  private static void write(ServiceConfiguration service, ObjectNode node) {
    node.put("targetDelayMillis", service.targetDelayMillis());
    node.put("defaultDeadlineMillis", service.defaultDeadlineMillis());
    node.put("maxWaiting", service.maxWaiting());
    node.put("targetDetectsRepeats", service.targetDetectsRepeats());
    node.put("tailLatencyGoalMillis", service.tailLatencyGoalMillis());
  }

  private static void write(TeamConfiguration team, ObjectNode node) {
    node.put("share", team.share());
    putLimit(node, "maxMilliProcessors", team.maxMilliProcessors());
    putLimit(node, "maxMemoryMebibytes", team.maxMemoryMebibytes());
    putLimit(node, "maxAccelerators", team.maxAccelerators());
  }

  private static void putLimit(ObjectNode node, String key, long limit) {
    if (limit == TeamConfiguration.UNLIMITED) {
      node.put(key, "unlimited");
    } else {
      node.put(key, limit);
    }
  }
}
