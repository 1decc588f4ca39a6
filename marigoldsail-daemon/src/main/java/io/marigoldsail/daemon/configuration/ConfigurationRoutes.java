package io.marigoldsail.daemon.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.configuration.ConfigurationChange;
import io.marigoldsail.configuration.ConfigurationDiff;
import io.marigoldsail.configuration.ConfigurationFold;
import io.marigoldsail.configuration.ConfigurationPublisher;
import io.marigoldsail.configuration.ConfigurationRow;
import io.marigoldsail.configuration.ConfigurationState;
import io.marigoldsail.configuration.ConfigurationStateJson;
import io.marigoldsail.configuration.PublishRequest;
import io.marigoldsail.configuration.Published;
import io.marigoldsail.configuration.PublishedVersion;
import io.marigoldsail.daemon.operators.OperatorAnswer;
import io.marigoldsail.daemon.operators.OperatorRequest;
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
 * The routes with which operators publish, read and compare the configuration.
 *
 * <p>Thread-safe. A publish waits for the log asynchronously, without blocking a thread.
 */
public final class ConfigurationRoutes {
  /** The maximum time that a publish waits for the log, in milliseconds. */
  private static final long PUBLISH_WAIT_MILLIS = 10_000;

  private static final String ANONYMOUS = "unknown";

  private final ConfigurationFold fold;
  private final ConfigurationPublisher publisher;
  private final Supplier<List<ProcessMember>> members;
  private final MonotonicClock clock;

  /**
   * Creates the routes.
   *
   * @param fold the configuration state of this process
   * @param publisher publishes and validates changes
   * @param members supplies all live processes, this one included, with their last reported revisions
   * @param clock the process's monotonic clock
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

  /** Registers all routes on an entry's server. */
  public void registerOn(OperatorServer server) {
    server.register("POST", "/configuration/{file}", this::publish);
    server.registerImmediate("POST", "/configuration/diff", this::diff);
    server.registerImmediate("GET", "/configuration", this::show);
    server.registerImmediate("GET", "/configuration/history", this::history);
    server.registerImmediate("GET", "/configuration/history/{revision}", this::version);
    server.registerImmediate("GET", "/configuration/in-force", this::inForce);
    server.registerImmediate("GET", "/configuration/{file}", this::file);
    registerStateOn(server, fold);
  }

  /**
   * Registers only the route that returns the state. Every process serves it for peers that start
   * while the log is unavailable. With {@code ?after=N} the response is an empty object unless the
   * revision is above N, which keeps repeated polls cheap.
   */
  public static void registerStateOn(OperatorServer server, ConfigurationFold fold) {
    server.registerImmediate(
        "GET",
        "/configuration/state",
        request ->
            request
                .queryNumber("after", -1)
                .then(after -> Result.ok(OperatorAnswer.ok(state(fold, after)))));
  }

  private static ObjectNode state(ConfigurationFold fold, long after) {
    ConfigurationState state = fold.state();
    return state.revision() > after ? ConfigurationStateJson.write(state) : Json.object();
  }

  private CompletableFuture<Result<OperatorAnswer>> publish(OperatorRequest request) {
    Result<PublishRequest> parsed = publishRequest(request);
    if (parsed instanceof Result.Failed<PublishRequest> failed) {
      return CompletableFuture.completedFuture(Result.failed(failed.failure()));
    }
    if (request.query("check").isPresent()) {
      return CompletableFuture.completedFuture(checkOnly(parsed.value()));
    }
    long deadline = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(PUBLISH_WAIT_MILLIS);
    return publisher
        .publish(parsed.value(), deadline)
        .thenApply(result -> result.then(published -> Result.ok(answer(parsed.value(), published))));
  }

  private Result<OperatorAnswer> checkOnly(PublishRequest request) {
    Optional<Failure> failure = publisher.verdict(request);
    if (failure.isPresent()) {
      return Result.failed(failure.get());
    }
    ObjectNode node = Json.object();
    node.put("file", request.file());
    node.put("valid", true);
    node.put("revision", fold.state().revision());
    return Result.ok(OperatorAnswer.ok(node));
  }

  private static OperatorAnswer answer(PublishRequest request, Published published) {
    ObjectNode node = Json.object();
    node.put("file", request.file());
    node.put("revision", published.revision());
    node.put("changed", published.changed());
    node.put("tries", published.tries());
    return OperatorAnswer.ok(node);
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
                                request.query("author").orElse(ANONYMOUS),
                                request.query("note").orElse(""),
                                revision < 0 ? OptionalLong.empty() : OptionalLong.of(revision)))));
  }

  private static Result<JsonNode> requireObject(JsonNode content) {
    return content.isObject()
        ? Result.ok(content)
        : Result.failed(ErrorKind.BAD_REQUEST, "body: must be a JSON object");
  }

  private Result<OperatorAnswer> diff(OperatorRequest request) {
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
                      ANONYMOUS,
                      "",
                      OptionalLong.empty());
              Optional<Failure> failure = publisher.verdict(publish);
              return failure.isPresent()
                  ? Result.failed(failure.get())
                  : Result.ok(OperatorAnswer.ok(diff(publisher.diff(publish))));
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

  private Result<OperatorAnswer> show(OperatorRequest request) {
    ConfigurationState state = fold.state();
    ObjectNode node = Json.object();
    node.put("revision", state.revisionInForce());
    ObjectNode files = node.putObject("files");
    state.fileRevisions().forEach(files::put);
    request.query("site").ifPresent(site -> rows(state, site, node));
    return Result.ok(OperatorAnswer.ok(node));
  }

  private static void rows(ConfigurationState state, String site, ObjectNode node) {
    node.put("site", site);
    ArrayNode rows = node.putArray("rows");
    for (ConfigurationRow row : state.rows(site)) {
      ObjectNode rowNode = rows.addObject();
      rowNode.put("key", row.key());
      rowNode.set("value", row.value());
      rowNode.put("source", row.source());
    }
  }

  private Result<OperatorAnswer> file(OperatorRequest request) {
    String file = request.path("file");
    ConfigurationState state = fold.state();
    Optional<JsonNode> content = state.content(file);
    if (content.isEmpty()) {
      return Result.failed(ErrorKind.NOT_FOUND, "no configuration file named " + file);
    }
    ObjectNode node = Json.object();
    node.put("file", file);
    node.put("revision", state.fileRevision(file));
    node.set("content", content.get());
    return Result.ok(OperatorAnswer.ok(node));
  }

  private Result<OperatorAnswer> history(OperatorRequest request) {
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
    return Result.ok(OperatorAnswer.ok(node));
  }

  private Result<OperatorAnswer> version(OperatorRequest request) {
    String text = request.path("revision");
    Optional<PublishedVersion> version =
        fold.state().history().stream()
            .filter(v -> Long.toString(v.revision()).equals(text))
            .findFirst();
    return version.isPresent()
        ? Result.ok(OperatorAnswer.ok(ConfigurationStateJson.write(version.get())))
        : Result.failed(ErrorKind.NOT_FOUND, "revision " + text + " is not in the retained history");
  }

  private Result<OperatorAnswer> inForce(OperatorRequest request) {
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
    return Result.ok(OperatorAnswer.ok(node));
  }
}
