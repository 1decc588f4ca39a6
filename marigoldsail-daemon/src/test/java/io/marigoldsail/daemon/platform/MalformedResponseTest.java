package io.marigoldsail.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.lease.WorkerStart;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/** Whatever the platform answers, the caller gets a failure that claims no more than is known. */
final class MalformedResponseTest {
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final String TASK =
      "{\"task\":\"a/1\",\"attempt\":1,\"token\":7,\"state\":\"RUNNING\","
          + "\"sizes\":{\"milliProcessors\":1,\"memoryBytes\":1,\"accelerators\":0},"
          + "\"checkpoint\":\"\",\"detail\":\"\"}";
  private static final String PAGE =
      "{\"records\":[{\"offset\":0,\"bytes\":\"AAAA\"}],\"firstOffset\":0,\"nextOffset\":1}";

  private static RawResponseServer server;
  private static PlatformClient client;
  private static HttpLogService log;
  private static HttpWorker worker;

  @BeforeContainer
  static void start() throws IOException {
    server = new RawResponseServer();
    client = PlatformClient.start("broken-answers");
    log = new HttpLogService(client, server.address(), TIMEOUT_MILLIS);
    worker = new HttpWorker(client, server.address(), TIMEOUT_MILLIS);
  }

  @AfterContainer
  static void stop() throws IOException {
    client.close();
    server.close();
  }

  private static final List<Supplier<Result<?>>> CALLS =
      List.of(
          () -> log.append("s", new byte[] {1}),
          () -> log.read("s", 0, 10, 0),
          () -> worker.boot(),
          () -> worker.list(),
          () -> worker.usage(),
          () -> worker.stop("a/1", 7),
          () -> worker.start(anyStart()));

  private static WorkerStart anyStart() {
    return new WorkerStart("a/1", 1, 7, 1_000, Sizes.NONE, "", "", 0, 0);
  }

  @Property(seed = "3501", tries = 60)
  void randomBodiesAreFailures(@ForAll @Size(max = 200) byte[] body) {
    server.respond(body);
    CALLS.forEach(MalformedResponseTest::assertFails);
  }

  @Property(seed = "3502", tries = 60)
  void randomBytesInPlaceOfHttpAreFailures(@ForAll @Size(max = 200) byte[] bytes) {
    server.respondRaw(bytes);
    CALLS.forEach(MalformedResponseTest::assertFails);
  }

  @Property(seed = "3503", tries = 60)
  void truncatedResponsesAreFailures(@ForAll @IntRange(min = 0, max = 10_000) int cut) {
    byte[] whole = TASK.getBytes(StandardCharsets.US_ASCII);
    byte[] half = Arrays.copyOf(whole, cut % whole.length);
    server.respond(half, whole.length);
    assertFails(() -> worker.stop("a/1", 7));
    server.respond(half);
    assertFails(() -> worker.stop("a/1", 7));
  }

  @Example
  void wrongTypesAreFailures() {
    for (String wrong :
        List.of(
            "null",
            "[]",
            "{}",
            "{\"offset\":\"7\"}",
            "{\"offset\":-1}",
            "{\"offset\":1.5}",
            "{\"offset\":null}",
            "{\"offset\":99999999999999999999}",
            PAGE.replace("\"offset\":0", "\"offset\":1"),
            PAGE.replace("AAAA", "%%%%"),
            PAGE.replace("\"nextOffset\":1", "\"nextOffset\":0"),
            PAGE.replace("[{", "[null,{"),
            TASK.replace("RUNNING", "WALKING"),
            TASK.replace("\"token\":7", "\"token\":8"),
            TASK.replace("\"token\":7", "\"token\":\"7\""),
            TASK.replace("a/1", "a/2"),
            TASK.replace("\"memoryBytes\":1", "\"memoryBytes\":-1"),
            "[null]",
            "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[")) {
      server.respond(wrong.getBytes(StandardCharsets.US_ASCII));
      for (Supplier<Result<?>> call : CALLS) {
        // An empty list of samples is a sound answer; everything else here is not.
        if (!wrong.equals("[]")) {
          assertFails(call);
        }
      }
    }
  }

  @Example
  void oversizedResponsesAreFailures() {
    server.respond(new byte[5 << 20]);
    CALLS.forEach(MalformedResponseTest::assertFails);
  }

  @Example
  void validResponsesMayHaveUnknownFields() {
    server.respond(
        (TASK.replace("{\"task\"", "{\"new\":[1],\"task\"")).getBytes(StandardCharsets.US_ASCII));
    assertEquals(7, worker.stop("a/1", 7).value().token());
    server.respond(PAGE.getBytes(StandardCharsets.US_ASCII));
    assertEquals(1, log.read("s", 0, 10, 0).value().records().size());
  }

  @Example
  void malformedResponseLeavesOutcomeUnknown() {
    // The record was stored and the answer came back garbled. Were that taken for a refusal, the
    // writer would say "not run" of something that counts.
    server.respond("{\"offset\":\"x\"}".getBytes(StandardCharsets.US_ASCII));
    assertKind(ErrorKind.LOG_OUTCOME_UNKNOWN, log.append("s", new byte[] {1}));
    server.respondRaw(new byte[0]);
    assertKind(ErrorKind.LOG_OUTCOME_UNKNOWN, log.append("s", new byte[] {1}));
    assertKind(ErrorKind.OUTCOME_UNKNOWN, worker.stop("a/1", 7));
  }

  private static void assertFails(Supplier<Result<?>> call) {
    Result<?> result = call.get();
    assertFalse(result.isOk(), result.toString());
  }

  private static void assertKind(ErrorKind kind, Result<?> result) {
    assertEquals(kind, ((Result.Failed<?>) result).failure().kind(), result.toString());
  }
}
