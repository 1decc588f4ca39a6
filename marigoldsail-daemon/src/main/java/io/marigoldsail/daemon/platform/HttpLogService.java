package io.marigoldsail.daemon.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.type.TypeReference;
import io.marigoldsail.daemon.platform.PlatformClient.ExchangeResult;
import io.marigoldsail.daemon.platform.PlatformClient.NotSent;
import io.marigoldsail.daemon.platform.PlatformClient.ResponseLost;
import io.marigoldsail.daemon.platform.PlatformClient.ResponseReceived;
import io.marigoldsail.daemon.platform.PlatformClient.ResponseTooLarge;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.LogPage;
import io.marigoldsail.log.LogRecord;
import io.marigoldsail.log.LogService;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The platform's log service over HTTP.
 *
 * <p>Safe for any thread. A 503 or 429 is taken as a refusal without effect, a 413 as too large;
 * every other answer but a well-formed 200 leaves an append's outcome unknown.
 */
public final class HttpLogService implements LogService {
  /** The largest record that is sent, in bytes. */
  public static final int MAX_RECORD_BYTES = 1 << 20;

  private static final int MAX_PAGE_BYTES = 4 << 20;
  private static final int MAX_RESPONSE_BYTES = 64 << 10;
  private static final int MAX_PAGE_RECORDS = 1_000;
  private static final String OCTET_STREAM = "application/octet-stream";

  private record WireAppended(long offset) {}

  @SuppressWarnings("ArrayRecordComponent") // only ever read in
  private record WireRecord(long offset, byte[] bytes) {}

  private record WirePage(List<WireRecord> records, long firstOffset, long nextOffset) {}

  private final PlatformClient client;
  private final String address;
  private final long timeoutMillis;

  /**
   * Creates a log service.
   *
   * @param client the client to send with; stays the caller's to close
   * @param address where the service is, such as {@code http://127.0.0.1:7000}
   * @param timeoutMillis how long an answer may take, in milliseconds; a read's wait comes on top
   */
  public HttpLogService(PlatformClient client, String address, long timeoutMillis) {
    this.client = requireNonNull(client, "client");
    this.address = requireNonNull(address, "address");
    checkArgument(timeoutMillis > 0, "timeoutMillis is not positive: %s", timeoutMillis);
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public Result<Long> append(String stream, byte[] record) {
    if (record.length > MAX_RECORD_BYTES) {
      return Result.failed(ErrorKind.BODY_TOO_LARGE, "log record of " + record.length + " bytes");
    }
    ExchangeResult exchange =
        client.post(uri(stream), OCTET_STREAM, record, MAX_RESPONSE_BYTES, timeoutMillis);
    if (exchange instanceof NotSent never) {
      return Result.failed(ErrorKind.LOG_UNAVAILABLE, never.detail());
    }
    if (exchange instanceof ResponseReceived answered) {
      return switch (answered.status()) {
        case 200 ->
            PlatformJson.read(
                    answered.body(),
                    new TypeReference<WireAppended>() {},
                    ErrorKind.LOG_OUTCOME_UNKNOWN)
                .then(HttpLogService::validateOffset);
        case 429, 503 -> Result.failed(ErrorKind.LOG_UNAVAILABLE, describe(exchange));
        case 413 -> Result.failed(ErrorKind.BODY_TOO_LARGE, "log record refused as too large");
        default -> Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, describe(exchange));
      };
    }
    return Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, describe(exchange));
  }

  private static Result<Long> validateOffset(WireAppended appended) {
    return appended.offset() >= 0
        ? Result.ok(appended.offset())
        : Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, "negative offset " + appended.offset());
  }

  @Override
  public Result<LogPage> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
    checkArgument(fromOffset >= 0, "fromOffset is negative: %s", fromOffset);
    checkArgument(maxRecords > 0, "maxRecords is not positive: %s", maxRecords);
    int asked = Math.min(maxRecords, MAX_PAGE_RECORDS);
    while (true) {
      ExchangeResult exchange = readOnce(stream, fromOffset, asked, waitMillis);
      if (exchange instanceof ResponseTooLarge && asked > 1) {
        // A page of large records is asked for again in halves.
        asked /= 2;
        continue;
      }
      if (exchange instanceof ResponseTooLarge) {
        return readPastOversizedRecord(stream, fromOffset);
      }
      if (!(exchange instanceof ResponseReceived answered) || answered.status() != 200) {
        return Result.failed(ErrorKind.LOG_UNAVAILABLE, describe(exchange));
      }
      int allowed = asked;
      return PlatformJson.read(
              answered.body(), new TypeReference<WirePage>() {}, ErrorKind.LOG_UNAVAILABLE)
          .then(page -> validatePage(page, fromOffset, allowed));
    }
  }

  /**
   * Returns a page that holds an empty record in place of one that is longer than this process may
   * hold. Whoever appended it is not of this system; without this every reader would ask for it for
   * ever. Where records have expired the page holds none, so that the reader notices.
   */
  private Result<LogPage> readPastOversizedRecord(String stream, long offset) {
    ExchangeResult exchange = readOnce(stream, offset, 0, 0);
    if (!(exchange instanceof ResponseReceived answered) || answered.status() != 200) {
      return Result.failed(ErrorKind.LOG_UNAVAILABLE, describe(exchange));
    }
    return PlatformJson.read(
            answered.body(), new TypeReference<WirePage>() {}, ErrorKind.LOG_UNAVAILABLE)
        .then(page -> validatePage(page, offset, 0))
        .then(
            page ->
                page.firstOffset() <= offset && offset < page.nextOffset()
                    ? Result.ok(
                        new LogPage(
                            List.of(new LogRecord(offset, new byte[0])),
                            page.firstOffset(),
                            page.nextOffset()))
                    : Result.ok(page));
  }

  private ExchangeResult readOnce(String stream, long fromOffset, int maxRecords, long waitMillis) {
    String query = "?from=" + fromOffset + "&max=" + maxRecords + "&waitMillis=" + waitMillis;
    return client.get(uri(stream) + query, MAX_PAGE_BYTES, waitMillis + timeoutMillis);
  }

  private static Result<LogPage> validatePage(WirePage page, long fromOffset, int maxRecords) {
    if (page.firstOffset() < 0 || page.nextOffset() < page.firstOffset()) {
      return malformedPage("offsets " + page.firstOffset() + " to " + page.nextOffset());
    }
    if (page.records().size() > maxRecords) {
      return malformedPage(page.records().size() + " records, " + maxRecords + " asked for");
    }
    List<LogRecord> records = new ArrayList<>();
    long expected = Math.max(fromOffset, page.firstOffset());
    for (WireRecord record : page.records()) {
      // A gap or a step back would make this process skip or repeat what others apply.
      if (record == null || record.offset() != expected || record.bytes() == null) {
        return malformedPage("record out of order, offset " + expected + " expected");
      }
      records.add(new LogRecord(record.offset(), record.bytes()));
      expected++;
    }
    if (!records.isEmpty() && expected > page.nextOffset()) {
      return malformedPage("records beyond the end " + page.nextOffset());
    }
    return Result.ok(new LogPage(records, page.firstOffset(), page.nextOffset()));
  }

  private static Result<LogPage> malformedPage(String detail) {
    return Result.failed(ErrorKind.LOG_UNAVAILABLE, "broken page: " + detail);
  }

  private String uri(String stream) {
    return address + "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
  }

  private static String describe(ExchangeResult exchange) {
    if (exchange instanceof ResponseReceived answered) {
      return "log service answered " + answered.status();
    }
    if (exchange instanceof ResponseLost lost) {
      return "log service gave no answer: " + lost.detail();
    }
    return exchange.toString();
  }
}
