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
 * Callers that ask one request after another, each over the next entry whose health is good, as the
 * platform's balancer has it; and what they were told.
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

  /** Returns whether the balancer would send callers to an entry. */
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

  /** Every other charge carries a key, and its caller asks again with it over the other entries. */
  private void sendWithRetries(String entry, String caller, long number) {
    boolean idempotent = number % 2 == 0;
    boolean keyed = number % 4 == 1;
    String tag = "r" + number;
    Outcome told = send(entry, caller, number, tag, keyed);
    for (int i = 1; i <= MAX_RETRIES && keyed && told != Outcome.ANSWERED; i++) {
      String other = entries.get((int) ((number + i) % entries.size()));
      if (!isHealthy(client, other)) {
        continue;
      }
      Outcome again = send(other, caller, number, tag, true);
      // "Not run" speaks of one try; an earlier one whose outcome is unknown may have run.
      told = again == Outcome.ANSWERED || told == Outcome.NOT_RUN ? again : told;
    }
    history.add(tag, idempotent, told, !mismatchedTags.contains(tag));
  }

  /**
   * Asks charges with keys through every healthy entry; returns whether all were answered. Asked
   * again, they are repeats.
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
      HttpResponse<byte[]> answer =
          client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
      String text = new String(answer.body(), StandardCharsets.UTF_8);
      Outcome told = outcomeOf(answer.statusCode(), text);
      if (told == Outcome.ANSWERED && !text.equals(body)) {
        mismatchedTags.add(tag);
      }
      if (told == Outcome.UNKNOWN && !text.contains("key-state-unknown")) {
        lostOutcomes.merge(answer.statusCode() + " " + text, 1, Integer::sum);
      }
      return told;
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
   * Returns how tries lost their connection or their outcome, each with its number. Not those that
   * were refused since the key's home has gone: that answer says that this try did not run.
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

  /** Lets the callers finish what they asked and waits for it. */
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
