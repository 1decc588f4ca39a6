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
 * Client of the platform's log service over HTTP.
 *
 * <p>Safe for any thread. A 503 or 429 counts as a refusal without effect, a 413 as too large; any
 * other response except a well-formed 200 leaves the outcome of an append unknown.
 */
public final class HttpLogService implements LogService {
  /** The largest record that is appended. */
  public static final int MAX_RECORD_BYTES = 1 << 20;

  private static final int MAX_PAGE_BYTES = 4 << 20;
  private static final int MAX_RESPONSE_BYTES = 64 << 10;
  private static final int MAX_PAGE_RECORDS = 1_000;
  private static final String OCTET_STREAM = "application/octet-stream";

  private record WireAppended(long offset) {}

  @SuppressWarnings("ArrayRecordComponent") // only deserialized, never compared
  private record WireRecord(long offset, byte[] bytes) {}

  private record WirePage(List<WireRecord> records, long firstOffset, long nextOffset) {}

  private final PlatformClient client;
  private final String address;
  private final long timeoutMillis;

  /**
   * Creates a log service.
   *
   * @param client the HTTP client; the caller closes it
   * @param address base URL of the service, such as {@code http://127.0.0.1:7000}
   * @param timeoutMillis timeout of a request, in milliseconds; a read's wait is added to it
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
      return Result.failed(
          ErrorKind.BODY_TOO_LARGE,
          "log record of " + record.length + " bytes exceeds " + MAX_RECORD_BYTES);
    }
    ExchangeResult result =
        client.post(uri(stream), OCTET_STREAM, record, MAX_RESPONSE_BYTES, timeoutMillis);
    if (result instanceof NotSent notSent) {
      return Result.failed(ErrorKind.LOG_UNAVAILABLE, notSent.detail());
    }
    if (result instanceof ResponseReceived response) {
      return switch (response.status()) {
        case 200 ->
            PlatformJson.read(
                    response.body(),
                    new TypeReference<WireAppended>() {},
                    ErrorKind.LOG_OUTCOME_UNKNOWN)
                .then(HttpLogService::validateOffset);
        case 429, 503 -> Result.failed(ErrorKind.LOG_UNAVAILABLE, describe(result));
        case 413 ->
            Result.failed(ErrorKind.BODY_TOO_LARGE, "log service refused the record as too large");
        default -> Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, describe(result));
      };
    }
    return Result.failed(ErrorKind.LOG_OUTCOME_UNKNOWN, describe(result));
  }

  private static Result<Long> validateOffset(WireAppended appended) {
    return appended.offset() >= 0
        ? Result.ok(appended.offset())
        : Result.failed(
            ErrorKind.LOG_OUTCOME_UNKNOWN,
            "log service returned the negative offset " + appended.offset());
  }

  @Override
  public Result<LogPage> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
    checkArgument(fromOffset >= 0, "fromOffset is negative: %s", fromOffset);
    checkArgument(maxRecords > 0, "maxRecords is not positive: %s", maxRecords);
    int limit = Math.min(maxRecords, MAX_PAGE_RECORDS);
    while (true) {
      ExchangeResult result = readOnce(stream, fromOffset, limit, waitMillis);
      if (result instanceof ResponseTooLarge && limit > 1) {
        // Retries with half as many records.
        limit /= 2;
        continue;
      }
      if (result instanceof ResponseTooLarge) {
        return readPastOversizedRecord(stream, fromOffset);
      }
      if (!(result instanceof ResponseReceived response) || response.status() != 200) {
        return Result.failed(ErrorKind.LOG_UNAVAILABLE, describe(result));
      }
      int requested = limit;
      return PlatformJson.read(
              response.body(), new TypeReference<WirePage>() {}, ErrorKind.LOG_UNAVAILABLE)
          .then(page -> validatePage(page, fromOffset, requested));
    }
  }

  /**
   * Returns a page with an empty record in place of one that exceeds the page limit. Such a record
   * was appended by another system; without the replacement every reader would request it forever.
   * If the record has expired, the page is empty, so that the reader notices.
   */
  private Result<LogPage> readPastOversizedRecord(String stream, long offset) {
    ExchangeResult result = readOnce(stream, offset, 0, 0);
    if (!(result instanceof ResponseReceived response) || response.status() != 200) {
      return Result.failed(ErrorKind.LOG_UNAVAILABLE, describe(result));
    }
    return PlatformJson.read(
            response.body(), new TypeReference<WirePage>() {}, ErrorKind.LOG_UNAVAILABLE)
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
      return malformedPage(page.records().size() + " records, " + maxRecords + " requested");
    }
    List<LogRecord> records = new ArrayList<>();
    long expected = Math.max(fromOffset, page.firstOffset());
    for (WireRecord record : page.records()) {
      // With a gap or a step back, this process would skip or repeat records that others apply.
      if (record == null || record.offset() != expected || record.bytes() == null) {
        return malformedPage("record missing or out of order, expected offset " + expected);
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
    return Result.failed(
        ErrorKind.LOG_UNAVAILABLE, "malformed page from the log service: " + detail);
  }

  private String uri(String stream) {
    return address + "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
  }

  private static String describe(ExchangeResult result) {
    if (result instanceof ResponseReceived response) {
      return "log service responded with status " + response.status();
    }
    if (result instanceof ResponseLost lost) {
      return "response of the log service was lost: " + lost.detail();
    }
    return result.toString();
  }
}
