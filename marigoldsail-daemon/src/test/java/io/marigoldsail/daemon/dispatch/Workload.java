package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.testlib.history.RequestHistory;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** Concurrent callers that send requests, half of them non-idempotent, and record the outcomes. */
final class Workload {
  private static final String DEADLINE_MILLIS = "20000";

  private final AtomicReferenceArray<EntryUnderTest> entries;
  private final RequestHistory history = new RequestHistory();
  private final AtomicInteger ended = new AtomicInteger();
  private final AtomicInteger lastNumber = new AtomicInteger();
  private final int total;
  private final List<Thread> callers = new ArrayList<>();

  /**
   * Creates a workload.
   *
   * @param entries the entries that callers send requests to; may be replaced meanwhile
   * @param callerCount the number of concurrent callers
   * @param total the total number of requests
   */
  Workload(AtomicReferenceArray<EntryUnderTest> entries, int callerCount, int total) {
    this.entries = entries;
    this.total = total;
    for (int i = 0; i < callerCount; i++) {
      int caller = i;
      callers.add(new Thread(() -> sendRequests(caller), "caller-" + i));
    }
  }

  void start() {
    callers.forEach(Thread::start);
  }

  /** Waits until this many requests have ended. */
  void awaitEnded(int count) {
    Await.until(count + " requests ended", () -> ended.get() >= count);
  }

  void awaitAll() throws InterruptedException {
    for (Thread caller : callers) {
      caller.join();
    }
  }

  RequestHistory history() {
    return history;
  }

  private void sendRequests(int caller) {
    SplittableRandom random = new SplittableRandom(caller);
    while (true) {
      int number = lastNumber.incrementAndGet();
      if (number > total) {
        return;
      }
      try {
        sendOne(caller, number, random);
      } catch (InterruptedException e) {
        return;
      }
      ended.incrementAndGet();
    }
  }

  private void sendOne(int caller, int number, SplittableRandom random)
      throws InterruptedException {
    boolean idempotent = random.nextBoolean();
    String tag = "c" + number;
    byte[] body = (tag + " ").repeat(random.nextInt(1, 60)).getBytes(StandardCharsets.UTF_8);
    EntryUnderTest entry = entries.get(random.nextInt(entries.length()));
    String path = "/parking/book?serviceMillis=" + random.nextInt(4) + "&tag=" + tag;
    HttpRequest.Builder request =
        entry
            .request(path)
            .header(CallerHeaders.CALLER, "caller-" + caller % 3)
            .header(CallerHeaders.DEADLINE_MILLIS, DEADLINE_MILLIS)
            .method(idempotent ? "PUT" : "POST", HttpRequest.BodyPublishers.ofByteArray(body));
    try {
      HttpResponse<byte[]> response = entry.send(request);
      boolean answered = response.statusCode() == 200;
      history.add(
          tag, idempotent, outcomeOf(response), !answered || Arrays.equals(body, response.body()));
    } catch (IOException e) {
      history.add(tag, idempotent, RequestHistory.Outcome.UNKNOWN, true);
    }
  }

  private static RequestHistory.Outcome outcomeOf(HttpResponse<byte[]> response) {
    if (response.statusCode() == 200) {
      return RequestHistory.Outcome.ANSWERED;
    }
    String problem = new String(response.body(), StandardCharsets.UTF_8);
    return problem.contains("\"execution\":\"not_run\"")
        ? RequestHistory.Outcome.NOT_RUN
        : RequestHistory.Outcome.UNKNOWN;
  }
}
