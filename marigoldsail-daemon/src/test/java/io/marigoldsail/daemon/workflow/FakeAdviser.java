package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.marigoldsail.workflow.WorkflowId;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Allows workers by the suffix of their names; can fail on request. Safe for any thread. */
final class FakeAdviser implements PlacementAdviser {
  private final List<String> calls = new ArrayList<>();
  private final List<String> answered = new ArrayList<>();
  private String allowedSuffix = "";
  private int failures;

  /** Allows only workers whose names have the suffix. */
  synchronized void allowOnlySuffix(String suffix) {
    allowedSuffix = suffix;
  }

  /** Fails the next calls. */
  synchronized void failNext(int count) {
    failures = count;
  }

  synchronized List<String> calls() {
    return List.copyOf(calls);
  }

  /** Returns the step and worker of each answer, in order. */
  synchronized List<String> answered() {
    return List.copyOf(answered);
  }

  @Override
  public synchronized CompletableFuture<AdviceResult> advise(
      WorkflowId workflow,
      int occurrence,
      int step,
      ImmutableList<String> workers,
      long timeoutMillis) {
    String stepName = workflow + "." + occurrence + "." + step;
    calls.add(stepName);
    if (failures > 0) {
      failures--;
      return CompletableFuture.completedFuture(new AdviceUnavailable("failed by the test"));
    }
    workers.forEach(worker -> answered.add(stepName + " " + worker));
    ImmutableMap.Builder<String, String> tickets = ImmutableMap.builder();
    workers.stream()
        .filter(worker -> worker.endsWith(allowedSuffix))
        .forEach(worker -> tickets.put(worker, "ticket-for-" + worker));
    return CompletableFuture.completedFuture(new Advised(tickets.buildOrThrow()));
  }
}
