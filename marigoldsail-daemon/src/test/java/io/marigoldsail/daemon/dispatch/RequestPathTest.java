package io.marigoldsail.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.testlib.platform.StandInTarget;
import java.io.ByteArrayInputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The complete request path in one Java virtual machine: caller, entry, side process, target. */
class RequestPathTest {
  private StandInTarget target;
  private SideUnderTest side;
  private EntryUnderTest entry;

  @BeforeEach
  void start() throws Exception {
    target = new StandInTarget("target-1", "127.0.0.1", 0, 8, 64).start();
    entry = new EntryUnderTest("entry-1", 1);
    side = SideUnderTest.withHttpTarget("vm-1", 1, target.address());
    side.announceTo(List.of(entry.address()));
    entry.awaitTargets(1);
  }

  @AfterEach
  void stop() {
    entry.close();
    side.close();
    target.close();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 65_535, 65_536, 65_537, 1_000_003, 8 * 1024 * 1024})
  void bodyIsEchoedUnchanged(int length) throws Exception {
    byte[] body = new byte[length];
    new SplittableRandom(length).nextBytes(body);

    HttpResponse<byte[]> response = entry.post("/parking/echo?lot=3", body);

    assertEquals(
        200, response.statusCode(), () -> new String(response.body(), StandardCharsets.UTF_8));
    assertArrayEquals(body, response.body());
    assertTrue(response.headers().firstValue(CallerHeaders.REQUEST_ID).isPresent());
  }

  @Test
  void oversizedBodyWithoutContentLengthIsRefused() throws Exception {
    byte[] body = new byte[BodyLimits.MAX_BYTES + 1];
    HttpRequest.Builder chunked =
        entry
            .request("/parking/echo")
            .POST(HttpRequest.BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body)));

    HttpResponse<byte[]> response = entry.send(chunked);

    assertEquals(413, response.statusCode());
    assertTrue(text(response).contains("body-too-large"), () -> text(response));
    // Refused while it was read, before a request id was assigned.
    assertTrue(response.headers().firstValue(CallerHeaders.REQUEST_ID).isEmpty());
    assertEquals(List.of(), target.runs());
  }

  @Test
  void headRequestIsAnswered() throws Exception {
    HttpRequest.Builder head =
        entry.request("/parking/echo").method("HEAD", HttpRequest.BodyPublishers.noBody());

    assertEquals(200, entry.send(head).statusCode());
  }

  @Test
  void unknownServiceAndInvalidHeadersAreRefusedWithReason() throws Exception {
    assertEquals(404, entry.get("/weather/today").statusCode());
    HttpResponse<byte[]> bad =
        entry.send(entry.request("/parking/x").header(CallerHeaders.DEADLINE_MILLIS, "soon").GET());
    assertEquals(400, bad.statusCode());
    assertTrue(text(bad).contains(CallerHeaders.DEADLINE_MILLIS), () -> text(bad));
    assertEquals(List.of(), target.runs());
  }

  @Test
  void statusAndHeadersOfTargetReachCaller() throws Exception {
    HttpResponse<byte[]> response = entry.get("/parking/spaces?status=418");

    assertEquals(418, response.statusCode());
    assertEquals("target-1", response.headers().firstValue("Stand-In-Target").orElse(""));
  }

  @Test
  void targetAndCallerGetSameRequestId() throws Exception {
    HttpRequest.Builder request =
        entry.request("/parking/spaces").header(CallerHeaders.REQUEST_ID, "made-up").GET();

    String receivedId =
        entry.send(request).headers().firstValue(CallerHeaders.REQUEST_ID).orElseThrow();

    assertEquals(receivedId, target.runs().get(0).requestId());
  }

  /**
   * Guards against a caller receiving another caller's response. Thousands of requests share two
   * connections and their responses are reordered, so matching them by position would mix them up.
   */
  @Test
  void outOfOrderResponsesReachTheirOwnCallers() throws Exception {
    SplittableRandom random = new SplittableRandom(4);
    List<byte[]> bodies = new ArrayList<>();
    List<CompletableFuture<HttpResponse<byte[]>>> responses = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      byte[] body =
          ("caller " + i + " ").repeat(random.nextInt(1, 40)).getBytes(StandardCharsets.UTF_8);
      bodies.add(body);
      responses.add(
          entry.sendAsync(
              entry
                  .request("/parking/book?serviceMillis=" + random.nextInt(6))
                  .header(CallerHeaders.CALLER, "caller-" + i % 7)
                  .POST(HttpRequest.BodyPublishers.ofByteArray(body))));
    }

    int served = 0;
    for (int i = 0; i < responses.size(); i++) {
      HttpResponse<byte[]> response = responses.get(i).join();
      if (response.statusCode() == 200) {
        assertArrayEquals(bodies.get(i), response.body());
        served++;
      } else {
        assertTrue(text(response).contains("\"execution\":\"not_run\""), () -> text(response));
      }
    }
    assertEquals(served, target.runs().size());
  }

  private static String text(HttpResponse<byte[]> response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }
}
