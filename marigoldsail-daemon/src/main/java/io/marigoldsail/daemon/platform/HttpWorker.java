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
import io.marigoldsail.lease.UsageSample;
import io.marigoldsail.lease.Worker;
import io.marigoldsail.lease.WorkerBoot;
import io.marigoldsail.lease.WorkerListing;
import io.marigoldsail.lease.WorkerStart;
import io.marigoldsail.lease.WorkerTask;
import java.util.List;

/**
 * Client of the platform's worker over HTTP.
 *
 * <p>Safe for any thread. A response about a task or token other than the requested one is rejected
 * as malformed: it would otherwise release or reserve the resources of the wrong task.
 */
public final class HttpWorker implements Worker {
  private static final int MAX_RESPONSE_BYTES = 1 << 20;
  private static final String JSON_TYPE = "application/json";

  private record TaskRequest(String task, long token) {}

  private record RenewRequest(String task, long token, long leaseDeadlineMillis) {}

  private record ThrottleRequest(String task, long token, int percent) {}

  private final PlatformClient client;
  private final String address;
  private final long timeoutMillis;

  /**
   * Creates a client.
   *
   * @param client the HTTP client; the caller closes it
   * @param address base URL of the worker, such as {@code http://127.0.0.1:9002}
   * @param timeoutMillis timeout of a request, in milliseconds
   */
  public HttpWorker(PlatformClient client, String address, long timeoutMillis) {
    this.client = requireNonNull(client, "client");
    this.address = requireNonNull(address, "address");
    checkArgument(timeoutMillis > 0, "timeoutMillis is not positive: %s", timeoutMillis);
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public Result<WorkerBoot> boot() {
    return get("/boot", new TypeReference<>() {});
  }

  @Override
  public Result<WorkerTask> start(WorkerStart start) {
    return postTaskRequest("/tasks/start", start, start.task(), start.token());
  }

  @Override
  public Result<WorkerTask> renew(String task, long token, long leaseDeadlineMillis) {
    return postTaskRequest(
        "/tasks/renew", new RenewRequest(task, token, leaseDeadlineMillis), task, token);
  }

  @Override
  public Result<WorkerTask> throttle(String task, long token, int percent) {
    checkArgument(percent >= 1 && percent <= 100, "percent is not in 1..100: %s", percent);
    return postTaskRequest(
        "/tasks/throttle", new ThrottleRequest(task, token, percent), task, token);
  }

  @Override
  public Result<WorkerTask> checkpoint(String task, long token) {
    return postTaskRequest("/tasks/checkpoint", new TaskRequest(task, token), task, token);
  }

  @Override
  public Result<WorkerTask> stop(String task, long token) {
    return postTaskRequest("/tasks/stop", new TaskRequest(task, token), task, token);
  }

  @Override
  public Result<WorkerListing> list() {
    return get("/tasks", new TypeReference<>() {});
  }

  @Override
  public Result<List<UsageSample>> usage() {
    Result<List<UsageSample>> samples = get("/usage", new TypeReference<>() {});
    return samples.then(HttpWorker::rejectNulls);
  }

  private static Result<List<UsageSample>> rejectNulls(List<UsageSample> samples) {
    return samples.stream().anyMatch(sample -> sample == null)
        ? Result.failed(
            ErrorKind.WORKER_FAILED, "malformed response of the worker: a sample is null")
        : Result.ok(List.copyOf(samples));
  }

  private <T> Result<T> get(String path, TypeReference<T> type) {
    return read(client.get(address + path, MAX_RESPONSE_BYTES, timeoutMillis), type);
  }

  private Result<WorkerTask> postTaskRequest(String path, Object content, String task, long token) {
    byte[] body = PlatformJson.write(content);
    ExchangeResult result =
        client.post(address + path, JSON_TYPE, body, MAX_RESPONSE_BYTES, timeoutMillis);
    Result<WorkerTask> response = read(result, new TypeReference<>() {});
    return response.then(
        reported ->
            reported.task().equals(task) && reported.token() == token
                ? response
                : Result.failed(
                    ErrorKind.WORKER_FAILED,
                    "worker responded about "
                        + reported.task()
                        + "@"
                        + reported.token()
                        + " instead of "
                        + task
                        + "@"
                        + token));
  }

  private static <T> Result<T> read(ExchangeResult result, TypeReference<T> type) {
    if (result instanceof ResponseReceived response) {
      return response.status() == 200
          ? PlatformJson.read(response.body(), type, ErrorKind.WORKER_FAILED)
          : Result.failed(
              errorKind(response.status()), "worker responded with status " + response.status());
    }
    if (result instanceof NotSent notSent) {
      return Result.failed(ErrorKind.TARGET_UNREACHABLE, "worker unreachable: " + notSent.detail());
    }
    if (result instanceof ResponseTooLarge tooLarge) {
      return Result.failed(
          ErrorKind.WORKER_FAILED,
          "response of the worker exceeds " + tooLarge.maxBytes() + " bytes");
    }
    return Result.failed(
        ErrorKind.OUTCOME_UNKNOWN,
        "response of the worker was lost: " + ((ResponseLost) result).detail());
  }

  private static ErrorKind errorKind(int status) {
    return switch (status) {
      case 400, 422 -> ErrorKind.BAD_REQUEST;
      case 404 -> ErrorKind.NOT_FOUND;
      case 409 -> ErrorKind.CONFLICT;
      case 429, 503 -> ErrorKind.TARGET_UNREACHABLE;
      default -> ErrorKind.WORKER_FAILED;
    };
  }
}
