package io.marigoldsail.testlib.platform;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * A target over HTTP that echoes each request's body and records every run.
 *
 * <p>It runs up to one request per slot and queues the others. {@code POST /admin/faults} changes
 * {@link TargetFaults} and {@code GET /admin/record} returns all runs; every other path is a
 * request to the target. The query parameter {@code serviceMillis} or the header {@code
 * Stand-In-Service-Millis} sets the service time of a request, {@code status} its response status.
 */
public final class StandInTarget implements AutoCloseable {
  /** The header with the request id assigned by the side process. */
  public static final String REQUEST_ID_HEADER = "Marigoldsail-Request-Id";

  private static final String SERVICE_TIME_HEADER = "Stand-In-Service-Millis";
  private static final int MAX_THREADS = 64;
  private static final int MAX_RECORDED_RUNS = 200_000;

  private final String name;
  private final int slots;
  private final StandInServer server;
  private final TargetRecord record = new TargetRecord(MAX_RECORDED_RUNS);
  private final ScheduledExecutorService timer;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private int inFlight;
  private volatile TargetFaults faults = TargetFaults.none();

  /**
   * Creates a target without starting it.
   *
   * @param name its name in its records
   * @param host the IP address to listen on
   * @param port the port, or 0 for a free one
   * @param slots the number of concurrent requests
   * @param connections the maximum number of connections
   */
  public StandInTarget(String name, String host, int port, int slots, int connections) {
    this.name = requireNonNull(name, "name");
    this.slots = slots;
    this.server = new StandInServer(host, port, MAX_THREADS, new TargetHandler());
    server.server().addBean(new NetworkConnectionLimit(connections, server.server()));
    this.timer =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "stand-in-target-timer");
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Starts listening and returns this. */
  public StandInTarget start() {
    server.start();
    return this;
  }

  /** Returns the base URL. */
  public String address() {
    return server.address();
  }

  /** Replaces the faults. */
  public void setFaults(TargetFaults newFaults) {
    faults = requireNonNull(newFaults, "newFaults");
  }

  /** Returns all runs so far, in start order. */
  public List<TargetRun> runs() {
    return record.contents().runs();
  }

  @Override
  public void close() {
    server.close();
    timer.shutdownNow();
  }

  private void acquireSlot(Runnable run) {
    synchronized (waiting) {
      if (inFlight == slots) {
        waiting.add(run);
        return;
      }
      inFlight++;
    }
    run.run();
  }

  private void releaseSlot() {
    Runnable next;
    synchronized (waiting) {
      next = waiting.poll();
      if (next == null) {
        inFlight--;
      }
    }
    if (next != null) {
      next.run();
    }
  }

  private final class TargetHandler extends Handler.Abstract {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      String path = Request.getPathInContext(request);
      if (path.equals("/admin/faults")) {
        return handleFaults(request, response, callback);
      }
      if (path.equals("/admin/record")) {
        return StandInServer.respond(response, callback, 200, record.contents());
      }
      long serviceMillis;
      int status;
      try {
        serviceMillis = serviceMillis(request);
        status = status(request);
      } catch (NumberFormatException e) {
        return StandInServer.respondError(response, callback, 400, "bad number: " + e.getMessage());
      }
      acquireSlot(() -> run(request, response, callback, serviceMillis, status));
      return true;
    }

    private boolean handleFaults(Request request, Response response, Callback callback) {
      try {
        if (request.getMethod().equals("POST")) {
          faults = StandInServer.update(faults, TargetFaults.class, request);
        }
        return StandInServer.respond(response, callback, 200, faults);
      } catch (IOException e) {
        return StandInServer.respondError(response, callback, 400, e.getMessage());
      }
    }

    private long serviceMillis(Request request) {
      String serviceTime = request.getHeaders().get(SERVICE_TIME_HEADER);
      Fields query = Request.extractQueryParameters(request);
      if (serviceTime == null && query.get("serviceMillis") != null) {
        serviceTime = query.getValue("serviceMillis");
      }
      long millis = serviceTime == null ? faults.serviceMillis() : Long.parseLong(serviceTime);
      return Math.round(millis * faults.slowness());
    }

    private int status(Request request) {
      if (faults.failStatus() != 0) {
        return faults.failStatus();
      }
      Fields query = Request.extractQueryParameters(request);
      return query.get("status") == null ? 200 : Integer.parseInt(query.getValue("status"));
    }

    private void run(
        Request request, Response response, Callback callback, long serviceMillis, int status) {
      int index = record.recordStart(describe(request));
      Runnable end =
          () -> {
            record.recordEnd(index, System.currentTimeMillis());
            releaseSlot();
            if (!faults.silent()) {
              echo(request, response, callback, status);
            }
          };
      if (serviceMillis == 0) {
        end.run();
      } else {
        timer.schedule(end, serviceMillis, TimeUnit.MILLISECONDS);
      }
    }

    private TargetRun describe(Request request) {
      return new TargetRun(
          name,
          header(request, REQUEST_ID_HEADER),
          header(request, "Idempotency-Key"),
          request.getMethod(),
          request.getHttpURI().getPathQuery(),
          System.currentTimeMillis(),
          0);
    }

    private String header(Request request, String headerName) {
      String value = request.getHeaders().get(headerName);
      return value == null ? "" : value;
    }

    private void echo(Request request, Response response, Callback callback, int status) {
      response.setStatus(status);
      response.getHeaders().put("Stand-In-Target", name);
      String type = request.getHeaders().get(HttpHeader.CONTENT_TYPE);
      if (type != null) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
      }
      if (faults.truncate()) {
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, Math.max(1, request.getLength()) + 1L);
        Callback closeAfterWrite =
            Callback.from(() -> StandInServer.closeConnection(request, callback), callback::failed);
        response.write(false, ByteBuffer.wrap(new byte[1]), closeAfterWrite);
        return;
      }
      if (request.getLength() > 0) {
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, request.getLength());
      }
      Content.copy(request, response, callback);
    }
  }
}
