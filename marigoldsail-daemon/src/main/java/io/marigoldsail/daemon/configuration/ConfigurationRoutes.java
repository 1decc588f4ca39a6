package io.marigoldsail.daemon.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.configuration.ConfigurationChange;
import io.marigoldsail.configuration.ConfigurationDiff;
import io.marigoldsail.configuration.ConfigurationFold;
import io.marigoldsail.configuration.ConfigurationPublisher;
import io.marigoldsail.configuration.ConfigurationState;
import io.marigoldsail.configuration.ConfigurationStateJson;
import io.marigoldsail.configuration.EffectiveValue;
import io.marigoldsail.configuration.PublishRequest;
import io.marigoldsail.configuration.PublishResult;
import io.marigoldsail.configuration.PublishedVersion;
import io.marigoldsail.daemon.operators.OperatorRequest;
import io.marigoldsail.daemon.operators.OperatorResponse;
import io.marigoldsail.daemon.operators.OperatorServer;
import io.marigoldsail.daemon.operators.ProcessMember;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.time.MonotonicClock;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The routes by which operators publish, read and compare the configuration.
 *
 * <p>Safe for any thread; a publish waits for the log without holding one.
 */
public final class ConfigurationRoutes {
  /** How long a publish waits for the log at the most, in milliseconds. */
  private static final long PUBLISH_TIMEOUT_MILLIS = 10_000;

  private static final String UNKNOWN_AUTHOR = "unknown";

  private final ConfigurationFold fold;
  private final ConfigurationPublisher publisher;
  private final Supplier<List<ProcessMember>> members;
  private final MonotonicClock clock;

  /**
   * Creates the routes.
   *
   * @param members gives what every live process, this one included, said last
   */
  public ConfigurationRoutes(
      ConfigurationFold fold,
      ConfigurationPublisher publisher,
      Supplier<List<ProcessMember>> members,
      MonotonicClock clock) {
    this.fold = requireNonNull(fold, "fold");
    this.publisher = requireNonNull(publisher, "publisher");
    this.members = requireNonNull(members, "members");
    this.clock = requireNonNull(clock, "clock");
  }

  /** Serves all routes on an entry's server. */
  public void registerOn(OperatorServer server) {
    server.register("POST", "/configuration/{file}", this::publish);
    server.registerSynchronous("POST", "/configuration/diff", this::diff);
    server.registerSynchronous("GET", "/configuration", this::show);
    server.registerSynchronous("GET", "/configuration/history", this::history);
    server.registerSynchronous("GET", "/configuration/history/{revision}", this::version);
    server.registerSynchronous("GET", "/configuration/in-force", this::inForce);
    server.registerSynchronous("GET", "/configuration/{file}", this::file);
    registerStateOn(server, fold);
  }

  /**
   * Serves the state alone, which every process gives to peers that start during an outage. With
   * {@code ?after=N} the answer is an empty object unless the revision is above N, so that asking
   * again and again costs little.
   */
  public static void registerStateOn(OperatorServer server, ConfigurationFold fold) {
    server.registerSynchronous(
        "GET",
        "/configuration/state",
        request ->
            request
                .queryNumber("after", -1)
                .then(after -> Result.ok(OperatorResponse.ok(state(fold, after)))));
  }

  private static ObjectNode state(ConfigurationFold fold, long after) {
    ConfigurationState state = fold.state();
    return state.revision() > after ? ConfigurationStateJson.write(state) : Json.object();
  }

  private CompletableFuture<Result<OperatorResponse>> publish(OperatorRequest request) {
    Result<PublishRequest> read = publishRequest(request);
    if (read instanceof Result.Failed<PublishRequest> failed) {
      return CompletableFuture.completedFuture(Result.failed(failed.failure()));
    }
    if (request.query("check").isPresent()) {
      return CompletableFuture.completedFuture(checkOnly(read.value()));
    }
    long deadline = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(PUBLISH_TIMEOUT_MILLIS);
    return publisher
        .publish(read.value(), deadline)
        .thenApply(
            result -> result.then(published -> Result.ok(response(read.value(), published))));
  }

  private Result<OperatorResponse> checkOnly(PublishRequest request) {
    Optional<Failure> failure = publisher.validate(request);
    if (failure.isPresent()) {
      return Result.failed(failure.get());
    }
    ObjectNode node = Json.object();
    node.put("file", request.file());
    node.put("valid", true);
    node.put("revision", fold.state().revision());
    return Result.ok(OperatorResponse.ok(node));
  }

  private static OperatorResponse response(PublishRequest request, PublishResult published) {
    ObjectNode node = Json.object();
    node.put("file", request.file());
    node.put("revision", published.revision());
    node.put("changed", published.changed());
    node.put("tries", published.attempts());
    return OperatorResponse.ok(node);
  }

  private static Result<PublishRequest> publishRequest(OperatorRequest request) {
    Result<Long> expected = request.queryNumber("expectedRevision", -1);
    return expected.then(
        revision ->
            request
                .json()
                .then(ConfigurationRoutes::requireObject)
                .then(
                    content ->
                        Result.ok(
                            new PublishRequest(
                                request.path("file"),
                                content,
                                request.query("author").orElse(UNKNOWN_AUTHOR),
                                request.query("note").orElse(""),
                                revision < 0 ? OptionalLong.empty() : OptionalLong.of(revision)))));
  }

  private static Result<JsonNode> requireObject(JsonNode content) {
    return content.isObject()
        ? Result.ok(content)
        : Result.failed(ErrorKind.BAD_REQUEST, "body: must be a JSON object");
  }

  private Result<OperatorResponse> diff(OperatorRequest request) {
    return request
        .json()
        .then(
            body -> {
              if (!body.path("file").isTextual() || !body.path("content").isObject()) {
                return Result.failed(
                    ErrorKind.BAD_REQUEST, "body: must be {\"file\": NAME, \"content\": {...}}");
              }
              PublishRequest publish =
                  new PublishRequest(
                      body.get("file").asText(),
                      body.get("content"),
                      UNKNOWN_AUTHOR,
                      "",
                      OptionalLong.empty());
              Optional<Failure> failure = publisher.validate(publish);
              return failure.isPresent()
                  ? Result.failed(failure.get())
                  : Result.ok(OperatorResponse.ok(diff(publisher.diff(publish))));
            });
  }

  private static ObjectNode diff(ConfigurationDiff diff) {
    ObjectNode node = Json.object();
    node.put("revision", diff.revision());
    ArrayNode sites = node.putArray("sites");
    diff.sites()
        .forEach(
            (site, changes) -> {
              ObjectNode siteNode = sites.addObject();
              siteNode.put("site", site);
              ArrayNode changesNode = siteNode.putArray("changes");
              changes.forEach(change -> changesNode.add(change(change)));
            });
    return node;
  }

  private static ObjectNode change(ConfigurationChange change) {
    ObjectNode node = Json.object();
    node.put("key", change.key());
    node.set("before", change.before());
    node.put("beforeSource", change.beforeSource());
    node.set("after", change.after());
    node.put("afterSource", change.afterSource());
    return node;
  }

  private Result<OperatorResponse> show(OperatorRequest request) {
    ConfigurationState state = fold.state();
    ObjectNode node = Json.object();
    node.put("revision", state.revisionInForce());
    ObjectNode files = node.putObject("files");
    state.fileRevisions().forEach(files::put);
    request.query("site").ifPresent(site -> rows(state, site, node));
    return Result.ok(OperatorResponse.ok(node));
  }

  private static void rows(ConfigurationState state, String site, ObjectNode node) {
    node.put("site", site);
    ArrayNode rows = node.putArray("rows");
    for (EffectiveValue row : state.effectiveValues(site)) {
      ObjectNode rowNode = rows.addObject();
      rowNode.put("key", row.key());
      rowNode.set("value", row.value());
      rowNode.put("source", row.source());
    }
  }

  private Result<OperatorResponse> file(OperatorRequest request) {
    String file = request.path("file");
    ConfigurationState state = fold.state();
    Optional<JsonNode> content = state.content(file);
    if (content.isEmpty()) {
      return Result.failed(ErrorKind.NOT_FOUND, "no configuration file " + file);
    }
    ObjectNode node = Json.object();
    node.put("file", file);
    node.put("revision", state.fileRevision(file));
    node.set("content", content.get());
    return Result.ok(OperatorResponse.ok(node));
  }

  private Result<OperatorResponse> history(OperatorRequest request) {
    ObjectNode node = Json.object();
    ConfigurationState state = fold.state();
    node.put("revision", state.revision());
    ArrayNode versions = node.putArray("versions");
    for (PublishedVersion version : state.history()) {
      ObjectNode versionNode = ConfigurationStateJson.write(version);
      versionNode.remove("content");
      versionNode.put("contentKept", version.content().isPresent());
      versions.add(versionNode);
    }
    return Result.ok(OperatorResponse.ok(node));
  }

  private Result<OperatorResponse> version(OperatorRequest request) {
    String text = request.path("revision");
    Optional<PublishedVersion> version =
        fold.state().history().stream()
            .filter(v -> Long.toString(v.revision()).equals(text))
            .findFirst();
    return version.isPresent()
        ? Result.ok(OperatorResponse.ok(ConfigurationStateJson.write(version.get())))
        : Result.failed(ErrorKind.NOT_FOUND, "no revision " + text + " in the history kept");
  }

  private Result<OperatorResponse> inForce(OperatorRequest request) {
    long accepted = fold.state().revision();
    ObjectNode node = Json.object();
    node.put("accepted", accepted);
    ArrayNode processes = node.putArray("processes");
    long everywhere = accepted;
    for (ProcessMember member : members.get()) {
      everywhere = Math.min(everywhere, member.revision());
      ObjectNode process = processes.addObject();
      process.put("process", member.process());
      process.put("role", member.role());
      process.put("revision", member.revision());
    }
    node.put("everywhere", everywhere);
    return Result.ok(OperatorResponse.ok(node));
  }
}
