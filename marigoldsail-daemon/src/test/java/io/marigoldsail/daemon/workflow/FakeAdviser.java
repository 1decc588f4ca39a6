package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Allows the workers whose names end as told, and can be told to fail. Safe for any thread. */
final class FakeAdviser implements PlacementAdviser {
  private final List<String> calls = new ArrayList<>();
  private final List<String> answered = new ArrayList<>();
  private String allowedSuffix = "";
  private int failures;

  /** Allows only workers whose names end so. */
  synchronized void allowOnlySuffix(String end) {
    allowedSuffix = end;
  }

  /** Leaves the next calls without an answer. */
  synchronized void failNext(int next) {
    failures = next;
  }

  synchronized List<String> calls() {
    return List.copyOf(calls);
  }

  /** Returns each step and worker that it answered about, in order. */
  synchronized List<String> answered() {
    return List.copyOf(answered);
  }

  @Override
  public synchronized CompletableFuture<AdviceResult> advise(
      long workflow, int occurrence, int step, ImmutableList<String> workers, long timeoutMillis) {
    String named = workflow + "." + occurrence + "." + step;
    calls.add(named);
    if (failures > 0) {
      failures--;
      return CompletableFuture.completedFuture(new AdviceUnavailable("told to fail"));
    }
    workers.forEach(worker -> answered.add(named + " " + worker));
    ImmutableMap.Builder<String, String> tickets = ImmutableMap.builder();
    workers.stream()
        .filter(worker -> worker.endsWith(allowedSuffix))
        .forEach(worker -> tickets.put(worker, "ticket-for-" + worker));
    return CompletableFuture.completedFuture(new Advised(tickets.buildOrThrow()));
  }
}
