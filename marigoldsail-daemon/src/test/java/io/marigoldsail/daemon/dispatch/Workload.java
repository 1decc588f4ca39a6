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

/** Callers that ask again and again, half of it charges, and note what they were told. */
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
   * @param entries where callers may ask; may be replaced while they do
   * @param callerCount how many ask at once
   * @param total how many requests in all
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

  /** Waits until so many requests have ended. */
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
      HttpResponse<byte[]> answer = entry.send(request);
      boolean answered = answer.statusCode() == 200;
      history.add(
          tag, idempotent, outcomeOf(answer), !answered || Arrays.equals(body, answer.body()));
    } catch (IOException e) {
      history.add(tag, idempotent, RequestHistory.Outcome.UNKNOWN, true);
    }
  }

  private static RequestHistory.Outcome outcomeOf(HttpResponse<byte[]> answer) {
    if (answer.statusCode() == 200) {
      return RequestHistory.Outcome.ANSWERED;
    }
    String problem = new String(answer.body(), StandardCharsets.UTF_8);
    return problem.contains("\"execution\":\"not_run\"")
        ? RequestHistory.Outcome.NOT_RUN
        : RequestHistory.Outcome.UNKNOWN;
  }
}
