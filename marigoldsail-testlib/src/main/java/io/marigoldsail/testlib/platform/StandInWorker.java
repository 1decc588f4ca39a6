package io.marigoldsail.testlib.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.WorkerStart;
import io.marigoldsail.time.WallClock;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A worker over HTTP, for tests and demonstrations; see {@link FakeWorker} for its behaviour.
 *
 * <p>{@code GET /boot}, {@code /tasks} and {@code /usage} return state; {@code POST /tasks/start},
 * {@code renew}, {@code throttle}, {@code checkpoint} and {@code stop} change a task and return it.
 * A failure has the HTTP status of its kind and the body {@code {"kind": CODE, "detail": TEXT}}; a
 * lost response is a closed connection. {@code POST /admin/faults} changes {@link WorkerFaults},
 * {@code POST /admin/reboot} reboots the worker, {@code GET /admin/record} returns all runs.
 */
public final class StandInWorker implements AutoCloseable {
  /** The record that test checkers read. */
  private record Contents(List<WorkerRun> runs, long askedOverCapacity) {}

  private static final int MAX_THREADS = 32;

  private final FakeWorker worker;
  private final StandInServer server;

  /**
   * Creates a worker without starting it.
   *
   * @param name its name in its records
   * @param host the IP address to listen on
   * @param port the port, or 0 for a free one
   * @param capacity the total capacity for tasks
   */
  public StandInWorker(String name, String host, int port, Sizes capacity) {
    long originMillis = System.currentTimeMillis();
    long originNanos = System.nanoTime();
    WallClock monotonicClock =
        () -> originMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
    this.worker = new FakeWorker(name, capacity, monotonicClock);
    this.server = new StandInServer(host, port, MAX_THREADS, new WorkerHandler());
  }

  /** Starts listening and returns this. */
  public StandInWorker start() {
    server.start();
    return this;
  }

  /** Returns the base URL. */
  public String address() {
    return server.address();
  }

  /** Returns the in-memory worker, to set faults and inspect its record. */
  public FakeWorker worker() {
    return worker;
  }

  @Override
  public void close() {
    server.close();
  }

  private final class WorkerHandler extends Handler.Abstract {
    @Override
    public boolean handle(Request request, Response response, Callback callback)
        throws IOException {
      String path = Request.getPathInContext(request);
      String body = Content.Source.asString(request, StandardCharsets.UTF_8);
      try {
        if (path.startsWith("/admin/")) {
          return StandInServer.respond(response, callback, 200, handleAdmin(path, body));
        }
        return respond(dispatch(path, body), request, response, callback);
      } catch (IOException | IllegalArgumentException e) {
        return StandInServer.respondError(response, callback, 400, String.valueOf(e.getMessage()));
      }
    }

    private Object handleAdmin(String path, String body) throws IOException {
      return switch (path) {
        case "/admin/faults" -> {
          if (!body.isEmpty()) {
            worker.setFaults(StandInServer.update(worker.faults(), WorkerFaults.class, body));
          }
          yield worker.faults();
        }
        case "/admin/reboot" -> {
          worker.reboot();
          yield worker.boot();
        }
        case "/admin/record" -> new Contents(worker.runs(), worker.rejectedOverCapacity());
        default -> throw new IllegalArgumentException("no such path: " + path);
      };
    }

    private Result<?> dispatch(String path, String body) throws IOException {
      return switch (path) {
        case "/boot" -> worker.boot();
        case "/tasks" -> worker.list();
        case "/usage" -> worker.usage();
        case "/tasks/start" -> worker.start(StandInServer.JSON.readValue(body, WorkerStart.class));
        default -> dispatchToTask(path, StandInServer.JSON.readTree(body));
      };
    }

    private Result<?> dispatchToTask(String path, JsonNode body) {
      String task = body.required("task").asText();
      long token = body.required("token").asLong();
      return switch (path) {
        case "/tasks/renew" ->
            worker.renew(task, token, body.required("leaseDeadlineMillis").asLong());
        case "/tasks/throttle" -> worker.throttle(task, token, body.required("percent").asInt());
        case "/tasks/checkpoint" -> worker.checkpoint(task, token);
        case "/tasks/stop" -> worker.stop(task, token);
        default -> throw new IllegalArgumentException("no such path: " + path);
      };
    }

    private boolean respond(
        Result<?> result, Request request, Response response, Callback callback) {
      if (!(result instanceof Result.Failed<?> failed)) {
        return StandInServer.respond(response, callback, 200, result.value());
      }
      Failure failure = failed.failure();
      return switch (failure.kind()) {
        case OUTCOME_UNKNOWN -> StandInServer.closeConnection(request, callback);
        case TARGET_UNREACHABLE ->
            StandInServer.respondError(response, callback, 503, failure.detail());
        default ->
            StandInServer.respond(
                response,
                callback,
                failure.kind().httpStatus(),
                StandInServer.JSON
                    .createObjectNode()
                    .put("kind", failure.kind().code())
                    .put("detail", failure.detail()));
      };
    }
  }
}
