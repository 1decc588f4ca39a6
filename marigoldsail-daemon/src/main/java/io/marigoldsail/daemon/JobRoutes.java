package io.marigoldsail.daemon;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.daemon.operators.OperatorRequest;
import io.marigoldsail.daemon.operators.OperatorResponse;
import io.marigoldsail.daemon.operators.OperatorServer;
import io.marigoldsail.daemon.task.JobView;
import io.marigoldsail.daemon.task.TaskRoutes;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import java.util.concurrent.CompletableFuture;

/** Serves {@link TaskRoutes} over HTTP on the operators' server. */
final class JobRoutes {
  private static final String DEFAULT_REASON = "cancelled by an operator";

  private final TaskRoutes routes;

  JobRoutes(TaskRoutes routes) {
    this.routes = requireNonNull(routes, "routes");
  }

  void registerOn(OperatorServer server) {
    server.register("POST", "/jobs", this::submit);
    server.register("DELETE", "/jobs/{name}", this::cancel);
    server.registerSynchronous(
        "GET", "/jobs", request -> routes.jobs().then(JobRoutes::jobsResponse));
    server.registerSynchronous(
        "GET",
        "/jobs/{name}",
        request -> routes.job(request.path("name")).then(JobRoutes::okResponse));
    server.registerSynchronous(
        "GET",
        "/tasks/{job}/{index}",
        request ->
            routes
                .task(request.path("job") + "/" + request.path("index"))
                .then(JobRoutes::okResponse));
  }

  private CompletableFuture<Result<OperatorResponse>> submit(OperatorRequest request) {
    String file = request.query("file").orElse("body");
    return routes
        .submit(file, request.body())
        .thenApply(result -> result.then(JobRoutes::okResponse));
  }

  private CompletableFuture<Result<OperatorResponse>> cancel(OperatorRequest request) {
    String reason = request.query("reason").orElse(DEFAULT_REASON);
    CompletableFuture<Result<JobView>> cancelled = routes.cancel(request.path("name"), reason);
    return cancelled.thenApply(result -> result.then(JobRoutes::okResponse));
  }

  private static Result<OperatorResponse> jobsResponse(java.util.List<JobView> jobs) {
    ObjectNode node = Json.object();
    node.set("jobs", Json.mapper().valueToTree(jobs));
    return Result.ok(OperatorResponse.ok(node));
  }

  private static Result<OperatorResponse> okResponse(Object view) {
    JsonNode node = Json.mapper().valueToTree(view);
    return Result.ok(OperatorResponse.ok(node));
  }
}
