package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerIncarnation;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** The calls of one incarnation of a side process to its worker, with faults. One thread. */
final class SimulatedWorkerCalls implements WorkerGateway {
  private static final long TIMEOUT_MILLIS = 900;
  private static final int MAX_LATENCY_MILLIS = 4;
  private static final int MAX_SLOW_LATENCY_MILLIS = 400;
  private static final long MIN_LATE_MILLIS = 2_000;
  private static final long MAX_LATE_MILLIS = 12_000;

  /** Difference of a fence and the worker's clock when it is read. */
  private static final long FENCE_OFFSET = 2;

  private final SimulatedTime time;
  private final SplittableRandom random;
  private final SimulatedWorker worker;
  private final CallFaults faults;
  private final RunOracle oracle;
  private final Consumer<Runnable> caller;
  private long fence;
  private String fencedWorker = "";

  /**
   * Creates the calls.
   *
   * @param caller runs what a response causes, unless the side process has died
   */
  SimulatedWorkerCalls(
      SimulatedTime time,
      SplittableRandom random,
      SimulatedWorker worker,
      CallFaults faults,
      RunOracle oracle,
      Consumer<Runnable> caller) {
    this.time = time;
    this.random = random;
    this.worker = worker;
    this.faults = faults;
    this.oracle = oracle;
    this.caller = caller;
  }

  private long latency() {
    return random.nextInt(30) == 0
        ? random.nextLong(MAX_SLOW_LATENCY_MILLIS)
        : 1 + random.nextLong(MAX_LATENCY_MILLIS);
  }

  private <T> CompletableFuture<T> call(
      CallFaults.Fate fate,
      long timeoutMillis,
      T unanswered,
      T refused,
      Consumer<Consumer<T>> execution) {
    CompletableFuture<T> future = new CompletableFuture<>();
    Consumer<T> respond = result -> caller.accept(() -> future.complete(result));
    long unansweredAfter = timeoutMillis;
    switch (fate) {
      case ANSWERED ->
          execute(
              latency(), execution, result -> time.after(latency(), () -> respond.accept(result)));
      case RESPONSE_LOST -> execute(latency(), execution, result -> {});
      case EXECUTED_LATE ->
          execute(random.nextLong(MIN_LATE_MILLIS, MAX_LATE_MILLIS), execution, result -> {});
      case REFUSED -> time.after(latency(), () -> respond.accept(refused));
      case RESET -> {}
    }
    if (fate != CallFaults.Fate.ANSWERED && random.nextBoolean()) {
      unansweredAfter = random.nextLong(1, timeoutMillis);
    }
    time.after(unansweredAfter, () -> respond.accept(unanswered));
    return future;
  }

  private <T> void execute(long delay, Consumer<Consumer<T>> execution, Consumer<T> response) {
    String receiver = worker.name();
    time.after(
        delay,
        () -> {
          if (worker.executesCallsOf(receiver)) {
            execution.accept(response);
          }
        });
  }

  private CallFaults.Fate draw(CallFaults.Call call) {
    return faults.draw(call, time.now(), worker.isSilent(), random);
  }

  private void note(CallFaults.Call call, RunKey run, CallFaults.Fate fate) {
    oracle.note(
        run.task(), () -> "side of " + worker.name() + " sends " + call + " " + run + " " + fate);
  }

  @Override
  public CompletableFuture<OrderResult> start(String name, StartOrder start) {
    CallFaults.Fate fate = draw(CallFaults.Call.START);
    note(CallFaults.Call.START, start.run(), fate);
    long sentFence = fenceOf(name);
    return call(
        fate,
        TIMEOUT_MILLIS,
        new OrderOutcomeUnknown("injected"),
        new Refused(Refusal.UNAVAILABLE, "injected"),
        response -> response.accept(worker.start(name, sentFence, start)));
  }

  @Override
  public CompletableFuture<OrderResult> stop(String name, RunKey run) {
    CallFaults.Fate fate = draw(CallFaults.Call.STOP);
    note(CallFaults.Call.STOP, run, fate);
    long sentFence = fenceOf(name);
    return call(
        fate,
        TIMEOUT_MILLIS,
        new OrderOutcomeUnknown("injected"),
        new Refused(Refusal.UNAVAILABLE, "injected"),
        response -> response.accept(worker.stop(name, sentFence, run)));
  }

  @Override
  public CompletableFuture<OrderResult> throttle(String name, RunKey run, int percent) {
    return CompletableFuture.completedFuture(new OrderOutcomeUnknown("not modelled"));
  }

  @Override
  public CompletableFuture<ListingResult> takeOver(String name) {
    return this.<OptionalLong>call(
            draw(CallFaults.Call.LIST),
            TIMEOUT_MILLIS,
            OptionalLong.empty(),
            OptionalLong.empty(),
            response -> response.accept(OptionalLong.of(worker.clock())))
        .thenCompose(
            clock ->
                clock.isPresent()
                    ? takeOver(name, nextFence(name, clock.getAsLong()))
                    : CompletableFuture.completedFuture(new ListingFailed("injected")));
  }

  /** Returns the fence of calls to the incarnation; none unless it was taken over last. */
  private long fenceOf(String name) {
    return fencedWorker.equals(name) ? fence : 0;
  }

  /** Returns a fence above those of all earlier calls to the worker, as the platform's client. */
  private long nextFence(String name, long workerClock) {
    boolean tellsBirth = WorkerIncarnation.parse(name).birth().isPresent();
    return tellsBirth ? Math.max(fence + 1, time.now() + FENCE_OFFSET) : workerClock + FENCE_OFFSET;
  }

  private CompletableFuture<ListingResult> takeOver(String name, long newFence) {
    return list(name, newFence, OptionalLong.empty(), 0, 0)
        .thenApply(
            result -> {
              if (result instanceof Listing) {
                fence = newFence;
                fencedWorker = name;
              }
              return result;
            });
  }

  @Override
  public CompletableFuture<ListingResult> list(
      String name, OptionalLong deadline, long acknowledged, long waitMillis) {
    return list(name, fenceOf(name), deadline, acknowledged, waitMillis);
  }

  private CompletableFuture<ListingResult> list(
      String name, long sentFence, OptionalLong deadline, long acknowledged, long waitMillis) {
    return call(
        draw(CallFaults.Call.LIST),
        TIMEOUT_MILLIS + waitMillis,
        new ListingFailed("injected"),
        new ListingFailed("injected: refused"),
        response -> worker.list(name, sentFence, deadline, acknowledged, waitMillis, response));
  }
}
