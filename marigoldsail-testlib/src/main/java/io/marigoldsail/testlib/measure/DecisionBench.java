package io.marigoldsail.testlib.measure;

import io.marigoldsail.dispatch.Arrival;
import io.marigoldsail.dispatch.AttemptOutcome;
import io.marigoldsail.dispatch.Decision;
import io.marigoldsail.dispatch.RequestScheduler;
import io.marigoldsail.dispatch.SchedulerSettings;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.TargetState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Measures the wall-clock time of the decisions for one request, its arrival, load report and end,
 * at a service without free slots.
 *
 * <p>A separate program because the results depend on the machine, unlike those of {@link Measure}.
 * Prints {@code targets,waiting,microseconds} for each size.
 */
public final class DecisionBench {
  private static final int WARM_UP_ROUNDS = 200_000;
  private static final int MEASURED_ROUNDS = 300_000;
  private static final int SLOTS = 8;
  private static final long DEADLINE_NANOS = 5_000_000_000L;
  private static final long STEP_NANOS = 200_000;

  private final RequestScheduler scheduler =
      new RequestScheduler(SchedulerSettings.of("zone-0"), new SplittableRandom(1));
  private final Deque<Decision.Send> sent = new ArrayDeque<>();
  private final SplittableRandom random = new SplittableRandom(2);
  private long now = 1;
  private long number;

  private DecisionBench(int targets) {
    List<TargetState> states = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      states.add(new TargetState("vm-" + i, 1, "service", "zone-" + i % 3, SLOTS, false));
    }
    apply(scheduler.targetsChanged(states, now));
  }

  /**
   * Runs the benchmark for 11 targets, the size of today's deployments, for 100, and for 770, the
   * size to design for.
   */
  public static void main(String[] arguments) {
    System.out.println("targets,waiting,microseconds");
    for (int targets : new int[] {11, 100, 770}) {
      DecisionBench bench = new DecisionBench(targets);
      bench.run(WARM_UP_ROUNDS);
      long startNanos = System.nanoTime();
      bench.run(MEASURED_ROUNDS);
      double micros = (System.nanoTime() - startNanos) / 1e3 / MEASURED_ROUNDS;
      int waiting = bench.scheduler.waiting().getOrDefault("service", 0);
      System.out.println(String.format(Locale.ROOT, "%d,%d,%.2f", targets, waiting, micros));
    }
  }

  /** One request arrives and about one ends per round, so the service has no free slots. */
  private void run(int rounds) {
    for (int i = 0; i < rounds; i++) {
      now += STEP_NANOS;
      arrive();
      if (sent.size() > 1 && random.nextInt(10) > 0) {
        end(sent.poll());
      }
    }
  }

  private void arrive() {
    String caller = "caller-" + random.nextInt(2_000);
    String key = "key-" + random.nextInt(2_000);
    apply(
        scheduler.requestArrived(
            new Arrival(number++, "service", caller, key, true, now, now + DEADLINE_NANOS), now));
  }

  private void end(Decision.Send send) {
    apply(scheduler.loadReported(send.vm(), new TargetLoad(SLOTS, 1, 3, false), now));
    apply(scheduler.attemptEnded(send.request(), send.vm(), AttemptOutcome.ANSWERED, now));
  }

  private void apply(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Send send) {
        sent.add(send);
      }
    }
  }
}
