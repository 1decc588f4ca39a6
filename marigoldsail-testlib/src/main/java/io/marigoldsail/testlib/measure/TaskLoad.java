package io.marigoldsail.testlib.measure;

import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.Spread;
import io.marigoldsail.job.TaskClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The jobs of a simulation and their arrival times; the same for every policy. */
final class TaskLoad {
  /** A job and its submission time, in milliseconds. */
  record Submission(long atMillis, JobSpec spec) {}

  static final String WAVE = "wave";

  private static final long GIBIBYTE = 1L << 30;
  private static final int BACKLOG_JOBS = 12;
  private static final int TASKS_PER_JOB = 8;
  private static final int TEAMS = 5;
  private static final int JOBS_PER_URGENT_JOB = 10;
  private static final long CHECKPOINT_MILLIS = 20_000;

  private final List<Submission> submissions = new ArrayList<>();
  private final Map<String, TaskKind> kinds = new HashMap<>();
  private final Random random;
  private final boolean wrongSizes;
  private int jobs;

  private TaskLoad(long seed, boolean wrongSizes) {
    this.random = new Random(seed);
    this.wrongSizes = wrongSizes;
    addKind(new TaskKind("calm", 1_000, 2 * GIBIBYTE, 0, ""));
    addKind(new TaskKind("large", 2_500, 4 * GIBIBYTE, 0, ""));
    addKind(new TaskKind("left", 1_500, 3 * GIBIBYTE, 0, "right"));
    addKind(new TaskKind("right", 1_500, 3 * GIBIBYTE, 0, "left"));
    addKind(new TaskKind("murmur", 1_000, 2 * GIBIBYTE, 0.05, ""));
    addKind(new TaskKind(WAVE, 1_000, 2 * GIBIBYTE, 0.5, ""));
  }

  /** Returns a load that keeps the fleet busy, with a wave of interfering jobs if requested. */
  static TaskLoad of(long seed, long horizonMillis, boolean wave, boolean wrongSizes) {
    TaskLoad load = new TaskLoad(seed, wrongSizes);
    for (int i = 0; i < BACKLOG_JOBS; i++) {
      load.submit(0, load.drawProgram());
    }
    long intervalMillis = 6_000;
    for (long at = intervalMillis; at < horizonMillis; at += intervalMillis) {
      boolean inWave = wave && at >= horizonMillis / 5 && at < horizonMillis / 2;
      load.submit(at, inWave && load.random.nextInt(3) == 0 ? WAVE : load.drawProgram());
    }
    return load;
  }

  List<Submission> submissions() {
    return submissions;
  }

  TaskKind kind(JobSpec spec) {
    return kinds.get(spec.command());
  }

  /**
   * Returns the actual run time of a task without interference, in milliseconds; the same for every
   * policy.
   */
  static double workMillis(String task) {
    return 20_000 + Math.floorMod(task.hashCode() * 31L, 80_000);
  }

  private void addKind(TaskKind kind) {
    kinds.put(kind.program(), kind);
  }

  private String drawProgram() {
    return List.of("calm", "calm", "large", "left", "right", "murmur").get(random.nextInt(6));
  }

  private void submit(long atMillis, String program) {
    jobs++;
    boolean urgent = jobs % JOBS_PER_URGENT_JOB == 0;
    JobSpec spec =
        new JobSpec(
            "job-" + jobs,
            "team-" + jobs % TEAMS,
            TaskClass.BATCH,
            urgent ? 2 : TASKS_PER_JOB,
            declared(kinds.get(program)),
            program,
            60_000,
            urgent,
            0,
            true,
            CHECKPOINT_MILLIS,
            Spread.RACK);
    submissions.add(new Submission(atMillis, spec));
  }

  private Sizes declared(TaskKind kind) {
    if (!wrongSizes) {
      return kind.sizes();
    }
    double factor = List.of(3.0, 0.4, 1.0).get(random.nextInt(3));
    return new Sizes(
        (long) Math.min(9_000, kind.milliProcessors() * factor),
        (long) (kind.memoryBytes() * factor),
        0);
  }
}
