package io.marigoldsail.testlib.platform;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.LogPage;
import io.marigoldsail.log.LogRecord;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * A log service over HTTP, for tests and demonstrations.
 *
 * <ul>
 *   <li>{@code POST /streams/NAME/records} appends the body and returns {@code {"offset": N}};
 *   <li>{@code GET /streams/NAME/records?from=N&max=N&waitMillis=N} reads; with {@code max=0} it
 *       returns only the first and next offset of the stream;
 *   <li>{@code POST /admin/faults} changes {@link LogFaults}, {@code GET /admin/faults} returns
 *       them;
 *   <li>{@code GET /admin/counts} returns the counts of requests served.
 * </ul>
 *
 * <p>A refusal is a 503 without effect; a lost response is a connection closed after the effect.
 */
public final class StandInLogService implements AutoCloseable {
  /** A record in JSON; Jackson encodes the bytes in Base64. */
  @SuppressWarnings("ArrayRecordComponent") // only serialized, never compared
  private record WireRecord(long offset, byte[] bytes) {}

  private record WirePage(List<WireRecord> records, long firstOffset, long nextOffset) {}

  private static final String PATH_PREFIX = "/streams/";
  private static final String PATH_SUFFIX = "/records";
  private static final int MAX_RECORD_BYTES = 1 << 20;
  private static final int MAX_THREADS = 256;
  private static final int DEFAULT_PAGE_SIZE = 100;

  private final FakeLogService log;
  private final StandInServer server;

  /**
   * Creates a log service without starting it.
   *
   * @param host the IP address to listen on
   * @param port the port, or 0 for a free one
   */
  public StandInLogService(String host, int port) {
    this.log = new FakeLogService();
    this.server = new StandInServer(host, port, MAX_THREADS, new LogHandler());
  }

  /** Starts listening and returns this. */
  public StandInLogService start() {
    server.start();
    return this;
  }

  /** Returns the base URL, such as {@code http://127.0.0.1:7000}. */
  public String address() {
    return server.address();
  }

  /** Returns the in-memory log, to set faults and inspect records. */
  public FakeLogService log() {
    return log;
  }

  @Override
  public void close() {
    server.close();
  }

  private final class LogHandler extends Handler.Abstract {
    @Override
    public boolean handle(Request request, Response response, Callback callback)
        throws IOException {
      String path = Request.getPathInContext(request);
      if (path.equals("/admin/faults")) {
        return faults(request, response, callback);
      }
      if (path.equals("/admin/counts")) {
        return StandInServer.respond(response, callback, 200, log.counts());
      }
      if (path.startsWith(PATH_PREFIX) && path.endsWith(PATH_SUFFIX)) {
        String stream =
            path.substring(PATH_PREFIX.length(), Math.max(PATH_PREFIX.length(), path.length() - 8));
        return request.getMethod().equals("POST")
            ? append(stream, request, response, callback)
            : read(stream, request, response, callback);
      }
      return StandInServer.respondError(response, callback, 404, "no such path: " + path);
    }

    private boolean faults(Request request, Response response, Callback callback) {
      if (request.getMethod().equals("POST")) {
        try {
          log.setFaults(StandInServer.update(log.faults(), LogFaults.class, request));
        } catch (IOException e) {
          return StandInServer.respondError(response, callback, 400, e.getMessage());
        }
      }
      return StandInServer.respond(response, callback, 200, log.faults());
    }

    private boolean append(String stream, Request request, Response response, Callback callback)
        throws IOException {
      ByteBuffer body = Content.Source.asByteBuffer(request);
      if (body.remaining() > MAX_RECORD_BYTES) {
        return StandInServer.respondError(response, callback, 413, "record too large");
      }
      byte[] record = new byte[body.remaining()];
      body.get(record);
      Result<Long> result = log.append(stream, record);
      if (result instanceof Result.Failed<Long> failed) {
        return failed.failure().kind() == ErrorKind.LOG_OUTCOME_UNKNOWN
            ? StandInServer.closeConnection(request, callback)
            : StandInServer.respondError(response, callback, 503, failed.failure().detail());
      }
      return StandInServer.respond(
          response,
          callback,
          200,
          StandInServer.JSON.createObjectNode().put("offset", result.value()));
    }

    private boolean read(String stream, Request request, Response response, Callback callback) {
      Fields query = Request.extractQueryParameters(request);
      long from;
      int max;
      long wait;
      try {
        from = Long.parseLong(query.getValue("from"));
        max =
            query.get("max") == null ? DEFAULT_PAGE_SIZE : Integer.parseInt(query.getValue("max"));
        wait = query.get("waitMillis") == null ? 0 : Long.parseLong(query.getValue("waitMillis"));
      } catch (NumberFormatException e) {
        return StandInServer.respondError(response, callback, 400, "bad query: " + e.getMessage());
      }
      Result<LogPage> result = log.read(stream, from, Math.max(0, max), wait);
      if (result instanceof Result.Failed<LogPage> failed) {
        return StandInServer.respondError(response, callback, 503, failed.failure().detail());
      }
      return StandInServer.respond(response, callback, 200, wire(result.value()));
    }

    private WirePage wire(LogPage page) {
      List<WireRecord> records = new ArrayList<>();
      for (LogRecord record : page.records()) {
        records.add(new WireRecord(record.offset(), record.bytes()));
      }
      return new WirePage(records, page.firstOffset(), page.nextOffset());
    }
  }
}
