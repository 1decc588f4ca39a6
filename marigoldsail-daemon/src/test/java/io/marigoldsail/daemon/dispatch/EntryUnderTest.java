package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.EntryLinks;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.dispatch.RequestPolicy;
import io.marigoldsail.dispatch.RequestScheduler;
import io.marigoldsail.dispatch.SchedulerSettings;
import io.marigoldsail.idempotency.KeyShardTable;
import io.marigoldsail.membership.EntryIdentity;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.timeline.EventRecorder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/** The request path of an entry, wired as in the process, with an HTTP client for it. */
final class EntryUnderTest implements AutoCloseable {
  private static final long DEFAULT_DEADLINE_MILLIS = 20_000;

  private final LinkLoop loop;
  private final EntryLinks links;
  private final EntryDispatcher dispatcher;
  private final CallerServer callers;
  private boolean closed;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(10))
          .build();

  EntryUnderTest(String name, long incarnation) throws IOException {
    this(name, incarnation, LinkSettings.DEFAULT, EventRecorder.none());
  }

  EntryUnderTest(String name, long incarnation, LinkSettings settings, EventRecorder events)
      throws IOException {
    this(name, incarnation, settings, events, Optional.empty(), service -> false);
  }

  EntryUnderTest(
      String name,
      long incarnation,
      LinkSettings settings,
      EventRecorder events,
      Optional<KeyShardTable> keys,
      Predicate<String> detectsRepeats)
      throws IOException {
    RequestPolicy policy =
        new RequestScheduler(SchedulerSettings.of("suva"), new SplittableRandom(11));
    EntryIdentity identity = new EntryIdentity(name, incarnation);
    InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
    loop = new LinkLoop(name, MonotonicClock.system());
    links = new EntryLinks(loop, anyPort, 1_000, identity, () -> 0, List::of, events);
    dispatcher =
        new EntryDispatcher(
            loop,
            identity,
            policy,
            settings,
            new ByteBudget(64L << 20),
            keys,
            detectsRepeats,
            events,
            new SplittableRandom(5));
    links.addMemberListener(dispatcher.memberListener());
    callers =
        new CallerServer(
            MonotonicClock.system(),
            anyPort,
            CallerLimits.forHeap(),
            service ->
                service.equals("parking")
                    ? OptionalLong.of(DEFAULT_DEADLINE_MILLIS)
                    : OptionalLong.empty(),
            dispatcher,
            () -> true);
    links.start();
    dispatcher.start();
    callers.start();
  }

  InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", links.port());
  }

  int callersPort() {
    return callers.port();
  }

  EntryDispatcher dispatcher() {
    return dispatcher;
  }

  EntryLinks links() {
    return links;
  }

  LinkLoop loop() {
    return loop;
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callers.port() + path))
        .timeout(Duration.ofSeconds(30));
  }

  HttpResponse<byte[]> get(String path) throws IOException, InterruptedException {
    return send(request(path).GET());
  }

  HttpResponse<byte[]> post(String path, byte[] body) throws IOException, InterruptedException {
    return send(request(path).POST(HttpRequest.BodyPublishers.ofByteArray(body)));
  }

  HttpResponse<byte[]> send(HttpRequest.Builder request) throws IOException, InterruptedException {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  CompletableFuture<HttpResponse<byte[]>> sendAsync(HttpRequest.Builder request) {
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  /** Waits until exactly this many targets are reachable. */
  void awaitTargets(int count) {
    Await.until(
        "targets known", () -> evaluateOnLoop(() -> dispatcher.reachableTargetCount() == count));
  }

  private boolean evaluateOnLoop(java.util.function.BooleanSupplier condition) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    loop.run(() -> result.complete(condition.getAsBoolean()));
    return result.join();
  }

  /** Stops at once, like a killed process. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    callers.close();
    dispatcher.close();
    links.close();
    loop.close();
  }
}
