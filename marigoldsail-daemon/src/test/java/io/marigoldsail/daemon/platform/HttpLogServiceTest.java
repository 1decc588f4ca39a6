package io.marigoldsail.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.LogPage;
import io.marigoldsail.testlib.platform.LogFaults;
import io.marigoldsail.testlib.platform.StandInLogService;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HttpLogServiceTest {
  private static final String STREAM = "configuration";
  private static final long TIMEOUT_MILLIS = 5_000;

  private StandInLogService service;
  private PlatformClient client;
  private HttpLogService log;

  @BeforeEach
  void start() {
    service = new StandInLogService("127.0.0.1", 0).start();
    client = PlatformClient.start("test");
    log = new HttpLogService(client, service.address(), TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() {
    client.close();
    service.close();
  }

  @Test
  void appendsAndReadsBack() {
    assertEquals(0L, log.append(STREAM, bytes("one")).value());
    assertEquals(1L, log.append(STREAM, bytes("two")).value());

    LogPage page = log.read(STREAM, 0, 10, 0).value();

    assertEquals(2, page.records().size());
    assertArrayEquals(bytes("two"), page.records().get(1).bytes());
    assertEquals(2, page.nextOffset());
  }

  @Test
  void readsFromTheOldestRetainedRecord() {
    for (int i = 0; i < 10; i++) {
      log.append(STREAM, bytes("r" + i)).value();
    }
    service.log().setFaults(LogFaults.none().withRetainedRecords(3));

    LogPage page = log.read(STREAM, 0, 10, 0).value();

    assertEquals(7, page.firstOffset());
    assertEquals(7, page.records().get(0).offset());
  }

  @Test
  void readsLargeRecordsInSmallerPages() {
    // A reader asks for a hundred records, which together exceed what it may hold at once. Without
    // smaller pages it would ask for the same page for ever.
    byte[] large = new byte[HttpLogService.MAX_RECORD_BYTES];
    for (int i = 0; i < 8; i++) {
      log.append(STREAM, large).value();
    }

    LogPage page = log.read(STREAM, 0, 100, 0).value();

    assertTrue(page.records().size() >= 1, "records " + page.records().size());
    assertEquals(8, page.nextOffset());
  }

  @Test
  void readsPastAnOversizedRecord() {
    // Something else appended a record longer than a reader may hold. Every reader would ask for it
    // again and again, and nothing behind it would ever be in force.
    service.log().append(STREAM, new byte[5 << 20]);
    log.append(STREAM, bytes("behind")).value();

    LogPage first = log.read(STREAM, 0, 10, 0).value();
    LogPage second = log.read(STREAM, 1, 10, 0).value();

    assertEquals(0, first.records().get(0).bytes().length);
    assertArrayEquals(bytes("behind"), second.records().get(0).bytes());
  }

  @Test
  void distinguishesRefusalFromLostResponse() {
    // The service refuses while it is down, and nothing took effect. Then an answer is lost on the
    // way back after the record was stored. Taking one for the other would lose or double records.
    service.log().setFaults(LogFaults.none().withDown(true));
    assertKind(ErrorKind.LOG_UNAVAILABLE, log.append(STREAM, bytes("refused")));
    assertKind(ErrorKind.LOG_UNAVAILABLE, log.read(STREAM, 0, 10, 0));

    service.log().setFaults(LogFaults.none().withLoseAnswers(1));
    assertKind(ErrorKind.LOG_OUTCOME_UNKNOWN, log.append(STREAM, bytes("lost")));
    assertEquals(1, service.log().nextOffset(STREAM));
  }

  @Test
  void unreachableServiceIsUnavailable() {
    service.close();

    assertKind(ErrorKind.LOG_UNAVAILABLE, log.append(STREAM, bytes("x")));
  }

  @Test
  void rejectsOversizedRecords() {
    byte[] record = new byte[HttpLogService.MAX_RECORD_BYTES + 1];

    assertKind(ErrorKind.BODY_TOO_LARGE, log.append(STREAM, record));
  }

  private static void assertKind(ErrorKind kind, Result<?> result) {
    assertEquals(kind, ((Result.Failed<?>) result).failure().kind(), result.toString());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
