package io.marigoldsail.daemon.operators;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.daemon.observe.Metrics;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.settings.HostPort;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class OperatorServerTest {
  private final Metrics metrics = new Metrics();
  private final OperatorServer server = new OperatorServer(new HostPort("127.0.0.1", 0), metrics);
  private final HttpClient client = new HttpClient();

  @BeforeEach
  void start() throws Exception {
    server.registerSynchronous("GET", "/jobs/{name}", request -> echo(request.path("name")));
    server.registerSynchronous("GET", "/jobs/all", request -> echo("every"));
    server.registerSynchronous(
        "POST",
        "/jobs",
        request -> request.json().then(body -> Result.ok(OperatorResponse.ok(body))));
    server.registerSynchronous(
        "GET",
        "/full",
        request -> Result.failed(new Failure(ErrorKind.OVERLOADED, "no room", 1_500)));
    server.registerSynchronous(
        "GET",
        "/broken",
        request -> {
          throw new IllegalStateException("a secret");
        });
    server.register("GET", "/later", request -> CompletableFuture.supplyAsync(() -> echo("later")));
    assertTrue(server.start().isOk());
    client.start();
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
    server.close();
  }

  private static Result<OperatorResponse> echo(String text) {
    return Result.ok(OperatorResponse.ok(Json.object().put("text", text)));
  }

  private String base() {
    return "http://127.0.0.1:" + server.port();
  }

  private ContentResponse get(String path) throws Exception {
    return client.GET(base() + path);
  }

  private static JsonNode json(ContentResponse response) {
    return Json.parse("answer", response.getContent()).value();
  }

  private void assertProblem(ErrorKind kind, ContentResponse response) {
    assertEquals(kind.httpStatus(), response.getStatus());
    assertEquals("application/problem+json", response.getMediaType());
    assertEquals("urn:marigoldsail:error:" + kind.code(), json(response).path("type").asText());
  }

  @Test
  void findsRoutesAndDecodesNames() throws Exception {
    assertEquals("a b+c", json(get("/jobs/a%20b+c")).path("text").asText());
    assertEquals("every", json(get("/jobs/all")).path("text").asText());
    assertEquals("later", json(get("/later")).path("text").asText());
  }

  @Test
  void errorsAreProblemDetails() throws Exception {
    assertProblem(ErrorKind.NOT_FOUND, get("/nothing"));
    assertProblem(ErrorKind.BAD_REQUEST, get("/jobs/a%2Fb"));
    assertProblem(ErrorKind.BAD_REQUEST, get("/jobs/a%25b"));
    assertProblem(ErrorKind.NOT_FOUND, get("/jobs/a/b"));
    assertProblem(
        ErrorKind.METHOD_NOT_ALLOWED, client.newRequest(base() + "/full").method("PUT").send());
    ContentResponse full = get("/full");
    assertProblem(ErrorKind.OVERLOADED, full);
    assertEquals("2", full.getHeaders().get("Retry-After"));
    assertEquals(1_500, json(full).path("retryAfterMillis").asInt());
    assertEquals("not_run", json(full).path("execution").asText());
  }

  @Test
  void handlerExceptionDetailsAreNotExposed() throws Exception {
    ContentResponse response = get("/broken");
    assertProblem(ErrorKind.INTERNAL, response);
    assertFalse(response.getContentAsString().contains("secret"));
  }

  @Test
  void invalidJsonIsReportedWithLineAndColumn() throws Exception {
    ContentResponse response =
        post("{\"a\":\n tru}".getBytes(java.nio.charset.StandardCharsets.UTF_8));
    assertProblem(ErrorKind.BAD_REQUEST, response);
    String detail = json(response).path("detail").asText();
    assertTrue(detail.startsWith("body: not JSON") && detail.contains("line 2"), detail);
  }

  @Test
  void bodyUpToLimitIsAcceptedAndLongerOneIsRefused() throws Exception {
    int frame = "{\"a\":\"\"}".length();
    byte[] longest =
        Json.bytes(Json.object().put("a", "x".repeat(OperatorServer.MAX_BODY_BYTES - frame)));
    assertEquals(OperatorServer.MAX_BODY_BYTES, longest.length);
    assertArrayEquals(longest, post(longest).getContent());
    byte[] tooLong = new byte[OperatorServer.MAX_BODY_BYTES + 1];
    assertProblem(ErrorKind.BODY_TOO_LARGE, post(tooLong));
  }

  /**
   * Story: a client sends a long body without a length, in chunks. Without a limit while reading,
   * the side process's small heap would fill up; answered too early, the client would see a reset
   * connection and not the reason.
   */
  @Test
  void bodyWithoutContentLengthIsLimited() throws Exception {
    org.eclipse.jetty.client.AsyncRequestContent endless =
        new org.eclipse.jetty.client.AsyncRequestContent("application/json");
    for (int i = 0; i < 192; i++) {
      endless.write(
          java.nio.ByteBuffer.wrap(new byte[64 * 1024]), org.eclipse.jetty.util.Callback.NOOP);
    }
    endless.close();
    ContentResponse response =
        client.newRequest(base() + "/jobs").method("POST").body(endless).send();
    assertProblem(ErrorKind.BODY_TOO_LARGE, response);
  }

  private ContentResponse post(byte[] body) throws Exception {
    return client
        .newRequest(base() + "/jobs")
        .method("POST")
        .body(new BytesRequestContent("application/json", body))
        .send();
  }

  @Test
  void metricsAreExposed() throws Exception {
    metrics.counter("tests", "Tests", "kind").labelValues("unit").inc();
    String text = get("/metrics").getContentAsString();
    assertTrue(text.contains("marigoldsail_tests_total{kind=\"unit\"} 1.0"), text);
  }

  @Test
  void addressInUseIsReportedInOneLineWithSettingsKey() {
    OperatorServer second =
        new OperatorServer(new HostPort("127.0.0.1", server.port()), new Metrics());
    Result<Integer> result = second.start();
    String detail = ((Result.Failed<Integer>) result).failure().detail();
    assertTrue(
        detail.startsWith("addresses.operators: cannot listen on 127.0.0.1:" + server.port()),
        detail);
    assertEquals(1, detail.lines().count());
    second.close();
  }

  @Test
  void duplicateRouteIsRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> server.registerSynchronous("GET", "/full", request -> echo("x")));
  }

  @Test
  void randomBytesDoNotAffectOtherConnections() throws Exception {
    Random random = new Random(52);
    for (int i = 0; i < 50; i++) {
      byte[] bytes = new byte[random.nextInt(2_000)];
      random.nextBytes(bytes);
      try (Socket socket = new Socket("127.0.0.1", server.port())) {
        OutputStream out = socket.getOutputStream();
        out.write(bytes);
        out.flush();
      } catch (java.io.IOException e) {
        // The server may close on us while we write; that is its good right.
        continue;
      }
    }
    assertEquals(200, get("/jobs/all").getStatus());
  }

  /**
   * Story: a broken tool opens connections and never closes them. Each holds buffers in a heap of
   * 40 MB; without a limit the side process dies. With one, an operator still gets in, since idle
   * connections are closed soon once there are too many.
   */
  @Test
  void connectionsAreLimitedAndOperatorsCanStillConnect() throws Exception {
    List<Socket> flood = new ArrayList<>();
    try {
      for (int i = 0; i < OperatorServer.MAX_CONNECTIONS + 100; i++) {
        flood.add(new Socket("127.0.0.1", server.port()));
        assertTrue(server.openConnections() <= OperatorServer.MAX_CONNECTIONS + 1);
      }
      assertEquals(200, get("/jobs/all").getStatus());
      assertTrue(server.openConnections() <= OperatorServer.MAX_CONNECTIONS + 1);
    } finally {
      for (Socket socket : flood) {
        socket.close();
      }
    }
  }
}
