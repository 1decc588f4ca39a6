package io.marigoldsail.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.error.ErrorKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class RequestSchedulerTest {
  private static final long SECOND = 1_000_000_000L;
  private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

  private final RequestScheduler scheduler =
      new RequestScheduler(SchedulerSettings.of("suva"), new SplittableRandom(1));

  private static TargetState target(String vm, String service) {
    return new TargetState(vm, 1, service, "suva", 2, false);
  }

  private static Arrival arrival(long number, String service, long now) {
    return new Arrival(number, service, "caller", "", true, now, now + SECOND);
  }

  private static ErrorKind refusal(List<Decision> decisions) {
    return ((Decision.Refuse) decisions.get(0)).failure().kind();
  }

  @Test
  void refusesARequestWithoutTargetAtOnce() {
    List<Decision> decisions = scheduler.requestArrived(arrival(1, "parking", 0), 0);
    assertEquals(ErrorKind.NO_TARGET, refusal(decisions));
    assertFalse(scheduler.isPending(1));
  }

  // All targets of the service go away while requests wait. They are told so at once, with a time
  // to
  // come back, not at their deadline.
  @Test
  void refusesWaitingRequestsWhenTheLastTargetIsRemoved() {
    scheduler.targetsChanged(List.of(target("vm-0", "parking")), 0);
    for (int i = 0; i < 20; i++) {
      scheduler.requestArrived(arrival(i, "parking", 0), 0);
    }
    List<Decision> decisions = scheduler.targetsChanged(List.of(), 1);
    assertFalse(decisions.isEmpty());
    assertEquals(ErrorKind.NO_TARGET, refusal(decisions));
  }

  /**
   * A fleet has just started: for a quarter of a second its side processes load classes, their
   * slots stay taken and they turn newcomers away. Callers at a sixth of what the fleet can serve,
   * with seconds to spare, must be served late rather than be told that it is full.
   */
  @Test
  void servesAllRequestsOfANearlyIdleFleetThatStallsAtStart() {
    long stall = SECOND / 4;
    long spacing = SECOND / 62;
    scheduler.targetsChanged(
        List.of(target("vm-0", "parking"), target("vm-1", "parking"), target("vm-2", "parking")),
        0);
    java.util.PriorityQueue<long[]> ends =
        new java.util.PriorityQueue<>(java.util.Comparator.comparingLong((long[] end) -> end[0]));
    Map<Long, String> vms = new HashMap<>();
    List<Decision> refused = new ArrayList<>();
    long arrivals = 0;
    for (long now = 0; now < 3 * SECOND; now += SECOND / 1_000) {
      List<Decision> decisions = new ArrayList<>(scheduler.wake(now));
      if (now / spacing >= arrivals && now < SECOND) {
        Arrival next = new Arrival(arrivals, "parking", "caller", "", true, now, now + 2 * SECOND);
        arrivals++;
        decisions.addAll(scheduler.requestArrived(next, now));
      }
      while (!ends.isEmpty() && ends.peek()[0] <= now) {
        long[] end = ends.poll();
        AttemptOutcome outcome = end[2] == 0 ? AttemptOutcome.NOT_RUN : AttemptOutcome.ANSWERED;
        decisions.addAll(scheduler.attemptEnded(end[1], vms.get(end[1]), outcome, now));
      }
      for (Decision decision : decisions) {
        if (decision instanceof Decision.Send send) {
          vms.put(send.request(), send.vm());
          long takes = now < stall ? SECOND / 1_000 : SECOND / 500;
          ends.add(new long[] {now + takes, send.request(), now < stall ? 0 : 1});
        } else {
          refused.add(decision);
        }
      }
    }
    assertEquals(List.of(), refused);
    assertTrue(arrivals > 60, "arrivals: " + arrivals);
  }

  @Test
  void isolatesServices() {
    scheduler.targetsChanged(List.of(target("vm-0", "parking"), target("vm-1", "alerts")), 0);
    for (int i = 0; i < 100; i++) {
      scheduler.requestArrived(arrival(i, "parking", 0), 0);
    }
    List<Decision> decisions = scheduler.requestArrived(arrival(1_000, "alerts", 0), 0);
    assertEquals("vm-1", ((Decision.Send) decisions.get(0)).vm());
  }

  @Test
  void refusesAtTheDeadlineWhenNoSlotWasFree() {
    scheduler.targetsChanged(List.of(target("vm-0", "parking")), 0);
    int sent = 0;
    for (int i = 0; i < 10; i++) {
      sent += scheduler.requestArrived(arrival(i, "parking", 0), 0).size();
    }
    assertEquals(SECOND, scheduler.nextWake());
    List<Decision> decisions = scheduler.wake(SECOND);
    assertEquals(10 - sent, decisions.size());
    assertEquals(ErrorKind.DEADLINE_BEFORE_START, refusal(decisions));
  }

  // The promise that everything else rests on: whatever happens in whatever order, each arrival is
  // refused or ends with an outcome exactly once, and nothing that may have run is sent twice
  // unless
  // it is idempotent.
  @Property(tries = 100, seed = "42")
  void answersEveryArrivalExactlyOnce(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RequestScheduler fresh = new RequestScheduler(SchedulerSettings.of("suva"), random.split());
    Run run = new Run(fresh);
    for (int step = 0; step < 400; step++) {
      run.now += random.nextLong(SECOND / 100);
      run.step(random);
    }
    run.finish();
    assertEquals(run.arrived, run.settled);
  }

  private static final class Run {
    private final RequestScheduler scheduler;
    private final Map<Long, String> sent = new HashMap<>();
    private final Map<Long, Arrival> arrivals = new HashMap<>();
    private final Set<Long> arrived = new HashSet<>();
    private final Set<Long> settled = new HashSet<>();
    private long now;

    private Run(RequestScheduler scheduler) {
      this.scheduler = scheduler;
    }

    private void step(SplittableRandom random) {
      switch (random.nextInt(6)) {
        case 0 -> changeTargets(random);
        case 1 ->
            carryOut(
                scheduler.loadReported(
                    "vm-" + random.nextInt(4),
                    new TargetLoad(random.nextInt(3), random.nextInt(2), 3, false),
                    now));
        case 2 -> carryOut(scheduler.wake(now));
        case 3 -> endOne(OUTCOMES[random.nextInt(OUTCOMES.length)]);
        default -> arrive(random);
      }
    }

    private void changeTargets(SplittableRandom random) {
      List<TargetState> targets = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        if (random.nextInt(4) > 0) {
          targets.add(target("vm-" + i, "parking"));
        }
      }
      carryOut(scheduler.targetsChanged(targets, now));
    }

    private void arrive(SplittableRandom random) {
      long number = arrived.size();
      String caller = "caller-" + random.nextInt(3);
      Arrival arrival =
          new Arrival(number, "parking", caller, "", random.nextBoolean(), now, now + SECOND / 4);
      arrived.add(number);
      arrivals.put(number, arrival);
      carryOut(scheduler.requestArrived(arrival, now));
    }

    private void endOne(AttemptOutcome outcome) {
      if (sent.isEmpty()) {
        return;
      }
      long number = sent.keySet().iterator().next();
      String vm = sent.remove(number);
      List<Decision> decisions = scheduler.attemptEnded(number, vm, outcome, now);
      boolean again = scheduler.isPending(number);
      assertTrue(!again || outcome.mayRetry(arrivals.get(number).idempotent()));
      boolean refused = decisions.stream().anyMatch(d -> isRefusalOf(d, number));
      carryOut(decisions);
      if (!again && !refused) {
        settle(number);
      }
    }

    private static boolean isRefusalOf(Decision decision, long number) {
      return decision instanceof Decision.Refuse && decision.request() == number;
    }

    private void carryOut(List<Decision> decisions) {
      for (Decision decision : decisions) {
        if (decision instanceof Decision.Send send) {
          assertEquals(null, sent.put(send.request(), send.vm()));
        } else {
          settle(decision.request());
        }
      }
    }

    private void settle(long number) {
      assertTrue(settled.add(number), () -> "answered twice: " + number);
      assertFalse(sent.containsKey(number));
    }

    private void finish() {
      now += SECOND;
      carryOut(scheduler.wake(now));
      while (!sent.isEmpty()) {
        endOne(AttemptOutcome.ANSWERED);
      }
      now += SECOND;
      carryOut(scheduler.wake(now));
    }
  }
}
