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
 * The platform's worker over HTTP.
 *
 * <p>Safe for any thread. An answer about another task or token than asked for counts as broken: it
 * would otherwise free or hold the wrong task's sizes.
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
   * Creates a worker.
   *
   * @param client the client to send with; stays the caller's to close
   * @param address where the worker is, such as {@code http://127.0.0.1:9002}
   * @param timeoutMillis how long an answer may take, in milliseconds
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
        ? Result.failed(ErrorKind.WORKER_FAILED, "broken answer: a sample is null")
        : Result.ok(List.copyOf(samples));
  }

  private <T> Result<T> get(String path, TypeReference<T> type) {
    return read(client.get(address + path, MAX_RESPONSE_BYTES, timeoutMillis), type);
  }

  private Result<WorkerTask> postTaskRequest(String path, Object call, String task, long token) {
    byte[] body = PlatformJson.write(call);
    ExchangeResult exchange =
        client.post(address + path, JSON_TYPE, body, MAX_RESPONSE_BYTES, timeoutMillis);
    Result<WorkerTask> answer = read(exchange, new TypeReference<>() {});
    return answer.then(
        told ->
            told.task().equals(task) && told.token() == token
                ? answer
                : Result.failed(
                    ErrorKind.WORKER_FAILED,
                    "broken answer: about " + told.task() + "@" + told.token()));
  }

  private static <T> Result<T> read(ExchangeResult exchange, TypeReference<T> type) {
    if (exchange instanceof ResponseReceived answered) {
      return answered.status() == 200
          ? PlatformJson.read(answered.body(), type, ErrorKind.WORKER_FAILED)
          : Result.failed(errorKind(answered.status()), "worker answered " + answered.status());
    }
    if (exchange instanceof NotSent never) {
      return Result.failed(ErrorKind.TARGET_UNREACHABLE, "worker: " + never.detail());
    }
    if (exchange instanceof ResponseTooLarge tooLong) {
      return Result.failed(
          ErrorKind.WORKER_FAILED, "worker's answer exceeds " + tooLong.maxBytes() + " bytes");
    }
    return Result.failed(
        ErrorKind.OUTCOME_UNKNOWN, "worker gave no answer: " + ((ResponseLost) exchange).detail());
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
