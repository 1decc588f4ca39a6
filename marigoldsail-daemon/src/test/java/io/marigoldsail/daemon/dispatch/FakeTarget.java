package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A target whose requests are completed by the test. */
final class FakeTarget implements Target {
  /** A request at the target. */
  record Run(TargetRequest request, Consumer<TargetOutcome> ended) {
    void respond(String body) {
      ended.accept(
          new TargetOutcome.Responded(200, List.of(), ByteString.copyFromUtf8(body), () -> {}));
    }
  }

  private final BlockingQueue<Run> runs = new LinkedBlockingQueue<>();
  private final AtomicInteger startedCount = new AtomicInteger();
  private volatile TargetHealth health = TargetHealth.SERVING;

  @Override
  public void send(TargetRequest request, Consumer<TargetOutcome> onEnded) {
    startedCount.incrementAndGet();
    runs.add(new Run(request, onEnded));
  }

  @Override
  public void probe(Consumer<TargetHealth> onResult) {
    onResult.accept(health);
  }

  @Override
  public void close() {}

  void health(TargetHealth newHealth) {
    health = newHealth;
  }

  /** Returns the number of requests received so far. */
  int startedCount() {
    return startedCount.get();
  }

  /** Waits for the next request. */
  Run awaitNext() throws InterruptedException {
    Run run = runs.poll(30, TimeUnit.SECONDS);
    if (run == null) {
      throw new AssertionError("no request reached the target");
    }
    return run;
  }
}
