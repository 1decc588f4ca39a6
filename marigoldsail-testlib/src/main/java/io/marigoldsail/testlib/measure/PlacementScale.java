package io.marigoldsail.testlib.measure;

import io.marigoldsail.job.JobQueue;
import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.JobState;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.Spread;
import io.marigoldsail.job.TaskClass;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.job.TeamQuota;
import io.marigoldsail.job.VmDescription;
import io.marigoldsail.job.VmState;
import io.marigoldsail.placement.Fleet;
import io.marigoldsail.placement.Interference;
import io.marigoldsail.placement.InterferenceCosts;
import io.marigoldsail.placement.PlacementDecision;
import io.marigoldsail.placement.PlacementRequest;
import io.marigoldsail.placement.Placer;
import io.marigoldsail.placement.UrgentReserve;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Measures placement at the size to design for, 770 VMs, 90 task starts per second and about 13,000
 * running tasks, or at a fraction of it.
 *
 * <p>{@code placement_us}, {@code placement_p99_us}, {@code fold_us} and {@code deciding_percent}
 * are processor time of this thread and differ from run to run; all other metrics are
 * deterministic.
 */
final class PlacementScale implements MeasurePattern {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int TARGET_VMS = 770;
  private static final int TEAMS = 400;
  private static final int TASKS_PER_JOB = 9;
  private static final long TARGET_JOB_INTERVAL_MILLIS = 100;
  private static final long ROUND_MILLIS = 50;
  private static final long APPEND_MILLIS = 100;
  private static final long RUN_MILLIS = 145_000;
  private static final long HORIZON_MILLIS = 400_000;
  private static final long MEASURED_FROM_MILLIS = 250_000;
  private static final int JOBS_PER_URGENT_JOB = 20;
  private static final int MAX_CLAIMS_PER_ROUND = 64;
  private static final Sizes VM_CAPACITY = new Sizes(10_000, 52L << 30, 0);
  private static final Sizes TASK = new Sizes(500, 2L << 30, 0);

  private record End(long atMillis, String task, long token) {}

  private record Append(long dueMillis, TaskRecord.Claimed claim) {}

  private static final class Run {
    private final int divisor;
    private final int vms;
    private final TaskTable table = new TaskTable();
    private final Random random;
    private final Placer placer;
    private final UrgentReserve reserve = new UrgentReserve();
    private final PriorityQueue<End> ends =
        new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    private final ArrayDeque<Append> appends = new ArrayDeque<>();
    private final Histogram urgentMillis = new Histogram(3);
    private final Histogram placementNanos = new Histogram(3);
    private long position;
    private long now;
    private int jobs;
    private long started;
    private long foldNanos;
    private long decideNanos;

    Run(long seed, int part) {
      this.divisor = part;
      this.vms = TARGET_VMS / part;
      random = new Random(seed);
      Interference interference = new Interference();
      for (int team = 0; team < TEAMS; team++) {
        interference.recordMeasurement(
            "team-" + team + "/p", Map.of("team-" + (team + 1) + "/p", 1.0), 2);
      }
      placer = new Placer(new InterferenceCosts(interference), new Random(seed));
      for (int i = 0; i < vms; i++) {
        fold(
            new TaskRecord.VmJoined(
                new VmDescription("vm-" + i, 1, VM_CAPACITY, "zone-" + i % 9, "rack-" + i / 30)));
      }
    }

    void run() {
      for (now = 0; now < HORIZON_MILLIS; now += ROUND_MILLIS) {
        if (now % (TARGET_JOB_INTERVAL_MILLIS * divisor) == 0) {
          submit(TASKS_PER_JOB);
        }
        while (!ends.isEmpty() && ends.peek().atMillis() <= now) {
          End end = ends.poll();
          fold(new TaskRecord.Ended(end.task(), end.token(), true, "", ""));
        }
        while (!appends.isEmpty() && appends.peek().dueMillis() <= now) {
          start(appends.poll().claim());
        }
        decide();
      }
    }

    private long fold(TaskRecord record) {
      long at = position;
      long before = THREADS.getCurrentThreadCpuTime();
      table.apply(at, record);
      foldNanos += THREADS.getCurrentThreadCpuTime() - before;
      position++;
      return at;
    }

    private void submit(int count) {
      jobs++;
      boolean urgent = jobs % JOBS_PER_URGENT_JOB == 0;
      JobSpec spec =
          new JobSpec(
              "job-" + jobs,
              "team-" + random.nextInt(TEAMS),
              TaskClass.BATCH,
              count,
              TASK,
              "p",
              RUN_MILLIS,
              urgent,
              0,
              true,
              0,
              Spread.NONE);
      fold(new TaskRecord.JobAccepted(spec, now));
    }

    private void start(TaskRecord.Claimed claim) {
      long token = fold(claim);
      TaskState task = table.task(claim.task()).orElseThrow();
      if (!task.isClaimedWith(token)) {
        return;
      }
      started++;
      JobState job = table.job(task.job()).orElseThrow();
      if (job.spec().urgent() && now >= MEASURED_FROM_MILLIS) {
        urgentMillis.recordValue(now - job.acceptedMillis());
      }
      long runMillis = (long) (-RUN_MILLIS * Math.log(1 - random.nextDouble()));
      ends.add(new End(now + runMillis, claim.task(), token));
    }

    private void decide() {
      long from = THREADS.getCurrentThreadCpuTime();
      List<JobState> waiting = table.waitingJobs();
      if (!waiting.isEmpty()) {
        decide(waiting);
      }
      decideNanos += THREADS.getCurrentThreadCpuTime() - from;
    }

    private void decide(List<JobState> waiting) {
      long before = THREADS.getCurrentThreadCpuTime();
      Fleet fleet = new Fleet(table.vms(), vm -> true, table::programsOn);
      Set<String> pendingTasks = new HashSet<>();
      for (Append append : appends) {
        pendingTasks.add(append.claim().task());
        fleet.allocate(append.claim().registration(), "p", append.claim().sizes());
      }
      waiting.forEach(job -> reserve.observe(job.spec().sizes(), job.spec().urgent(), now));
      fleet.reserveVms(reserve.perVm(fleet.meanCapacity(), now), reserve.vmCount(vms));
      JobQueue order =
          new JobQueue(
              waiting, table.bookedByTeam(), team -> TeamQuota.DEFAULT, fleet.capacity(), now);
      placer.beginRound();
      int claims = 0;
      Optional<JobState> next = order.next();
      while (next.isPresent() && claims < MAX_CLAIMS_PER_ROUND) {
        claims += claimAll(next.get(), fleet, pendingTasks);
        next = order.next();
      }
      if (claims > 0 && now >= MEASURED_FROM_MILLIS) {
        placementNanos.recordValueWithCount(
            (THREADS.getCurrentThreadCpuTime() - before) / claims, claims);
      }
    }

    private int claimAll(JobState job, Fleet fleet, Set<String> pendingTasks) {
      int claims = 0;
      for (TaskState task : table.waiting(job.spec().name(), 0, MAX_CLAIMS_PER_ROUND)) {
        if (pendingTasks.contains(task.name())) {
          continue;
        }
        PlacementRequest request =
            new PlacementRequest(job.spec(), task, job.spec().sizes(), Map.of());
        if (placer.place(request, fleet) instanceof PlacementDecision.Chosen chosen) {
          VmState vm = chosen.candidate().state();
          fleet.allocate(vm.registration(), job.spec().program(), TASK);
          appends.add(
              new Append(
                  now + APPEND_MILLIS,
                  new TaskRecord.Claimed(
                      task.name(), 1, vm.vm(), vm.registration(), TASK, 120_000, "e")));
          claims++;
        }
      }
      return claims;
    }
  }

  private final int divisor;

  /** Creates the pattern with the size divided by the given number. */
  PlacementScale(int part) {
    this.divisor = part;
  }

  @Override
  public String name() {
    return "placement-scale@" + (divisor == 1 ? "target" : "part-" + divisor);
  }

  @Override
  public void run(long seed, MeasureRows rows) {
    Run run = new Run(seed, divisor);
    run.run();
    double seconds = HORIZON_MILLIS / 1_000.0;
    rows.add(name(), 1, "marigoldsail", "placement_us", run.placementNanos.getMean() / 1_000);
    rows.add(
        name(),
        1,
        "marigoldsail",
        "placement_p99_us",
        run.placementNanos.getValueAtPercentile(99) / 1_000.0);
    rows.add(name(), 1, "marigoldsail", "fold_us", run.foldNanos / 1_000.0 / run.position);
    rows.add(
        name(),
        1,
        "marigoldsail",
        "urgent_p99_s",
        run.urgentMillis.getValueAtPercentile(99) / 1_000.0);
    rows.add(name(), 1, "marigoldsail", "deciding_percent", run.decideNanos / 1e4 / HORIZON_MILLIS);
    rows.add(name(), 1, "marigoldsail", "starts_per_s", run.started / seconds);
    rows.add(name(), 1, "marigoldsail", "running_tasks", (double) run.ends.size());
    rows.add(name(), 1, "marigoldsail", "records_per_s", run.position / seconds);
  }
}
