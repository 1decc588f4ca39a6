package io.marigoldsail.tests.scenario;

import io.marigoldsail.testlib.history.RequestHistory;
import io.marigoldsail.testlib.history.RequestHistory.Outcome;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Callers that send one request after another, each to the next healthy entry like the platform's
 * load balancer, and record the outcomes.
 */
final class SiteCallers implements AutoCloseable {
  private static final int CALLERS = 8;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int DEADLINE_MILLIS = 5_000;
  private static final int MAX_RETRIES = 3;

  private final List<String> entries;
  private final RequestHistory history = new RequestHistory();
  private final AtomicLong requestCount = new AtomicLong();
  private final Map<String, Integer> lostOutcomes = new ConcurrentHashMap<>();
  private final Set<String> mismatchedTags = ConcurrentHashMap.newKeySet();
  private final Set<String> confirmedCharges = ConcurrentHashMap.newKeySet();
  private final List<Thread> threads = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private volatile boolean stopped;

  SiteCallers(List<String> entries) {
    this.entries = List.copyOf(entries);
  }

  void start() {
    for (int i = 0; i < CALLERS; i++) {
      String caller = "caller-" + i;
      Thread thread = new Thread(() -> run(caller), caller);
      threads.add(thread);
      thread.start();
    }
  }

  private void run(String caller) {
    while (!stopped) {
      long number = requestCount.getAndIncrement();
      String entry = entries.get((int) (number % entries.size()));
      if (isHealthy(client, entry)) {
        sendWithRetries(entry, caller, number);
      }
    }
  }

  /** Returns whether the load balancer would route callers to an entry. */
  static boolean isReady(String entry) {
    return isHealthy(HttpClient.newHttpClient(), entry);
  }

  private static boolean isHealthy(HttpClient client, String entry) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + entry + "/health/ready"))
            .timeout(Duration.ofSeconds(1))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Sends a request. Every second POST has an idempotency key and is retried with it at the other
   * entries.
   */
  private void sendWithRetries(String entry, String caller, long number) {
    boolean idempotent = number % 2 == 0;
    boolean keyed = number % 4 == 1;
    String tag = "r" + number;
    Outcome outcome = send(entry, caller, number, tag, keyed);
    for (int i = 1; i <= MAX_RETRIES && keyed && outcome != Outcome.ANSWERED; i++) {
      String nextEntry = entries.get((int) ((number + i) % entries.size()));
      if (!isHealthy(client, nextEntry)) {
        continue;
      }
      Outcome retryOutcome = send(nextEntry, caller, number, tag, true);
      // "Not run" refers to one attempt; an earlier one with unknown outcome may have run.
      outcome =
          retryOutcome == Outcome.ANSWERED || outcome == Outcome.NOT_RUN ? retryOutcome : outcome;
    }
    history.add(tag, idempotent, outcome, !mismatchedTags.contains(tag));
  }

  /**
   * Sends charges with keys through every healthy entry; returns whether all were answered. Later
   * calls repeat the same requests.
   */
  boolean areChargesAnswered(int count) {
    for (int i = 0; i < count; i++) {
      String tag = "kept-" + i;
      for (String entry : entries) {
        if (isHealthy(client, entry)
            && send(entry, "keeper", 2L * i + 1, tag, true) != Outcome.ANSWERED) {
          return false;
        }
      }
      if (confirmedCharges.add(tag)) {
        history.add(tag, false, Outcome.ANSWERED, true);
      }
    }
    return mismatchedTags.isEmpty();
  }

  private Outcome send(String entry, String caller, long number, String tag, boolean keyed) {
    String body = "body of " + tag + " ".repeat((int) (number % 500));
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + entry + "/parking/book?tag=" + tag))
            .timeout(TIMEOUT)
            .header("Marigoldsail-Caller", caller)
            .header("Marigoldsail-Deadline-Millis", Integer.toString(DEADLINE_MILLIS))
            .method(number % 2 == 0 ? "PUT" : "POST", HttpRequest.BodyPublishers.ofString(body));
    if (keyed) {
      request.header("Idempotency-Key", tag);
    }
    try {
      HttpResponse<byte[]> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
      String text = new String(response.body(), StandardCharsets.UTF_8);
      Outcome outcome = outcomeOf(response.statusCode(), text);
      if (outcome == Outcome.ANSWERED && !text.equals(body)) {
        mismatchedTags.add(tag);
      }
      if (outcome == Outcome.UNKNOWN && !text.contains("key-state-unknown")) {
        lostOutcomes.merge(response.statusCode() + " " + text, 1, Integer::sum);
      }
      return outcome;
    } catch (IOException e) {
      lostOutcomes.merge(e.toString(), 1, Integer::sum);
      return Outcome.UNKNOWN;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Outcome.UNKNOWN;
    }
  }

  /** Sends one request with a body to an entry. */
  static HttpResponse<byte[]> post(String entry, byte[] body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + entry + "/parking/book"))
            .timeout(TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    try {
      return HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .build()
          .send(request, HttpResponse.BodyHandlers.ofByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  private static Outcome outcomeOf(int status, String text) {
    if (status == 200) {
      return Outcome.ANSWERED;
    }
    return text.contains("\"execution\":\"not_run\"") ? Outcome.NOT_RUN : Outcome.UNKNOWN;
  }

  /**
   * Returns the number of attempts by error that lost their connection or whose outcome is unknown.
   * Excludes refusals because the owner of a key is gone, which say that the attempt did not run.
   */
  Map<String, Integer> lostOutcomes() {
    return Map.copyOf(lostOutcomes);
  }

  RequestHistory history() {
    return history;
  }

  long answered() {
    return history.count(Outcome.ANSWERED);
  }

  /** Stops sending and waits for the open requests. */
  void stop() {
    stopped = true;
    for (Thread thread : threads) {
      try {
        thread.join(TIMEOUT.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() {
    stopped = true;
    threads.forEach(Thread::interrupt);
  }
}
