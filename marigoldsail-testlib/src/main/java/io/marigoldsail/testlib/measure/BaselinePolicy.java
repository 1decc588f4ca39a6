package io.marigoldsail.testlib.measure;

import io.marigoldsail.dispatch.Arrival;
import io.marigoldsail.dispatch.AttemptOutcome;
import io.marigoldsail.dispatch.Decision;
import io.marigoldsail.dispatch.RequestPolicy;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.TargetState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The baseline policy of measurements: round robin over all targets, unbounded first-come,
 * first-served queues at the targets, and immediate retries. Ignores load, deadlines and callers.
 */
final class BaselinePolicy implements RequestPolicy {
  private static final int MAX_ATTEMPTS = 4;

  private record SentAttempt(Arrival arrival, int attempts) {}

  private final Map<Long, SentAttempt> pending = new HashMap<>();
  private List<TargetState> targets = List.of();
  private int next;

  @Override
  public List<Decision> requestArrived(Arrival arrival, long now) {
    return send(arrival, 1);
  }

  private List<Decision> send(Arrival arrival, int tries) {
    pending.put(arrival.request(), new SentAttempt(arrival, tries));
    TargetState target = targets.get(next++ % targets.size());
    return List.of(new Decision.Send(arrival.request(), target.vm(), tries, "round robin"));
  }

  @Override
  public List<Decision> targetsChanged(List<TargetState> newTargets, long now) {
    targets = List.copyOf(newTargets);
    return List.of();
  }

  @Override
  public List<Decision> loadReported(String vm, TargetLoad load, long now) {
    return List.of();
  }

  @Override
  public List<Decision> attemptEnded(long request, String vm, AttemptOutcome outcome, long now) {
    SentAttempt sent = pending.remove(request);
    if (sent == null
        || !outcome.mayRetry(sent.arrival().idempotent())
        || sent.attempts() == MAX_ATTEMPTS) {
      return List.of();
    }
    return send(sent.arrival(), sent.attempts() + 1);
  }

  @Override
  public List<Decision> callerDisconnected(long request, long now) {
    pending.remove(request);
    return List.of();
  }

  @Override
  public boolean isPending(long request) {
    return pending.containsKey(request);
  }

  @Override
  public List<Decision> wake(long now) {
    return List.of();
  }

  @Override
  public long nextWake() {
    return Long.MAX_VALUE;
  }
}
