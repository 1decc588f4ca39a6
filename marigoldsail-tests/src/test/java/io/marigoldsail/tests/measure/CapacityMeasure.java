package io.marigoldsail.tests.measure;

import io.marigoldsail.daemon.link.AnnouncementCodec;
import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.Spread;
import io.marigoldsail.job.TaskClass;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskRecordCodec;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.job.VmDescription;
import io.marigoldsail.json.Json;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.membership.MemberTable;
import io.marigoldsail.protocol.Announce;
import io.marigoldsail.testlib.measure.SvgPlot;
import java.io.IOException;
import java.lang.ref.Reference;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Measures the memory and processor time of an entry against the size of the fleet. Prints CSV with
 * a linear fit of each quantity. Run by {@code bin/measure-capacity}.
 */
public final class CapacityMeasure {
  private static final int[] TASKS = {1_725, 3_450, 6_900, 13_800};
  private static final int[] VMS = {96, 192, 385, 770};
  private static final int TASKS_A_JOB = 20;
  private static final int TEAMS = 400;
  private static final int ROUNDS = 7;
  private static final int AXIS_TICKS = 4;
  private static final double AXIS_MARGIN_FACTOR = 1.05;
  private static final int TABLES = 20;
  private static final int MEASURED_PASSES = 100;
  private static final int WARM_UP_PASSES = 200;
  private static final Sizes VM_CAPACITY = new Sizes(16_000, 60L << 30, 0);
  private static final Sizes TASK = new Sizes(500, 256L << 20, 0);

  private static Optional<Path> plots = Optional.empty();

  private CapacityMeasure() {}

  /**
   * Prints all quantities and, if a directory is given, writes a plot of each into it.
   *
   * @throws IOException if a plot cannot be written
   */
  public static void main(String[] arguments) throws IOException {
    plots = arguments.length == 0 ? Optional.empty() : Optional.of(Path.of(arguments[0]));
    System.out.println("quantity,size,value,unit");
    measure("task_table_memory", TASKS, "bytes", CapacityMeasure::tableBytes);
    measure("task_snapshot", TASKS, "bytes", CapacityMeasure::snapshotBytes);
    measure("task_fold_cycle", TASKS, "microseconds_in_all", CapacityMeasure::foldMicros);
    measure("announcements_taken", VMS, "microseconds_in_all", CapacityMeasure::announcementMicros);
    System.out.println("announcement,1," + announcement(7).toByteArray().length + ",bytes");
    System.out.println("claim_record,1," + claimBytes() + ",bytes");
  }

  private interface Quantity {
    long of(int size);
  }

  /** Prints the median of several rounds for each size. */
  private static void measure(String name, int[] sizes, String unit, Quantity quantity)
      throws IOException {
    double[] values = new double[sizes.length];
    for (int i = 0; i < sizes.length; i++) {
      long[] rounds = new long[ROUNDS];
      for (int round = 0; round < ROUNDS; round++) {
        rounds[round] = quantity.of(sizes[i]);
      }
      Arrays.sort(rounds);
      values[i] = rounds[ROUNDS / 2];
      System.out.printf(Locale.ROOT, "%s,%d,%.0f,%s%n", name, sizes[i], values[i], unit);
    }
    Fit fit = Fit.of(sizes, values);
    System.out.printf(
        Locale.ROOT,
        "# %s: slope %.3f, intercept %.0f, r2 %.4f%n",
        name,
        fit.slope(),
        fit.intercept(),
        fit.r2());
    if (plots.isPresent()) {
      draw(plots.get().resolve("capacity-" + name.replace('_', '-') + ".svg"), unit, sizes, values);
    }
  }

  /** Writes a plot of the measured values and the linear fit, with both axes from 0. */
  private static void draw(Path file, String unit, int[] sizes, double[] values)
      throws IOException {
    Fit fit = Fit.of(sizes, values);
    double maxSize = sizes[sizes.length - 1];
    double maxValue = Arrays.stream(values).max().orElseThrow();
    SvgPlot plot =
        new SvgPlot(
            file.getFileName().toString().replace(".svg", ""),
            axis("size, thousands", maxSize / 1_000),
            axis(unit, maxValue));
    List<double[]> measured = new ArrayList<>();
    for (int i = 0; i < sizes.length; i++) {
      measured.add(new double[] {sizes[i] / 1_000.0, values[i]});
    }
    plot.add("measured", false, measured);
    plot.add(
        String.format(Locale.ROOT, "fit, r2 %.3f", fit.r2()),
        true,
        List.of(
            new double[] {0, fit.intercept()},
            new double[] {maxSize / 1_000, fit.intercept() + fit.slope() * maxSize}));
    Files.writeString(file, plot.toSvg(), StandardCharsets.UTF_8);
  }

  private static SvgPlot.Axis axis(String title, double max) {
    List<Double> ticks = new ArrayList<>();
    for (int i = 0; i <= AXIS_TICKS; i++) {
      ticks.add(max * i / AXIS_TICKS);
    }
    return new SvgPlot.Axis(title, 0, max * AXIS_MARGIN_FACTOR, false, ticks);
  }

  /** A least-squares linear fit. */
  private record Fit(double slope, double intercept, double r2) {
    private static Fit of(int[] sizes, double[] values) {
      double meanSize = 0;
      double meanValue = 0;
      for (int i = 0; i < sizes.length; i++) {
        meanSize += sizes[i] / (double) sizes.length;
        meanValue += values[i] / sizes.length;
      }
      double covariance = 0;
      double sizeVariance = 0;
      double valueVariance = 0;
      for (int i = 0; i < sizes.length; i++) {
        covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
        sizeVariance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
        valueVariance += (values[i] - meanValue) * (values[i] - meanValue);
      }
      double slope = covariance / sizeVariance;
      double r2 = valueVariance == 0 ? 1 : covariance * covariance / sizeVariance / valueVariance;
      return new Fit(slope, meanValue - slope * meanSize, r2);
    }
  }

  private static TaskTable tableOf(int tasks) {
    TaskTable table = new TaskTable();
    Writer writer = new Writer(table);
    for (int vm = 0; vm < VMS[VMS.length - 1]; vm++) {
      writer.apply(
          new TaskRecord.VmJoined(
              new VmDescription("vm-" + vm, 1, VM_CAPACITY, "zone-" + vm % 9, "rack-" + vm / 3)));
    }
    for (int task = 0; task < tasks; task++) {
      String job = "job-" + task / TASKS_A_JOB;
      if (task % TASKS_A_JOB == 0) {
        writer.apply(new TaskRecord.JobAccepted(job(task / TASKS_A_JOB), 0));
      }
      int vm = task % VMS[VMS.length - 1];
      writer.apply(claim(job + "/" + task % TASKS_A_JOB, vm, vm));
    }
    return table;
  }

  private static TaskRecord claim(String task, int vm, long registration) {
    return new TaskRecord.Claimed(task, 1, "vm-" + vm, registration, TASK, 120_000, "entry-1");
  }

  private static JobSpec job(int number) {
    return new JobSpec(
        "job-" + number,
        "team-" + number % TEAMS,
        TaskClass.BATCH,
        TASKS_A_JOB,
        TASK,
        "run",
        60_000,
        false,
        0,
        true,
        10_000,
        Spread.NONE);
  }

  /** Applies records at increasing positions. */
  private static final class Writer {
    private final TaskTable table;
    private long position = -1;

    private Writer(TaskTable table) {
      this.table = table;
    }

    private void apply(TaskRecord record) {
      position++;
      if (!table.apply(position, record)) {
        throw new IllegalStateException("not accepted: " + record);
      }
    }
  }

  private static long tableBytes(int tasks) {
    LongSupplier used =
        () -> {
          Runtime runtime = Runtime.getRuntime();
          System.gc();
          return runtime.totalMemory() - runtime.freeMemory();
        };
    long before = used.getAsLong();
    // Several tables, so that one still referenced from an earlier stack frame has little effect.
    TaskTable[] tables = new TaskTable[TABLES];
    Arrays.setAll(tables, unused -> tableOf(tasks));
    long after = used.getAsLong();
    Reference.reachabilityFence(tables);
    return (after - before) / TABLES;
  }

  private static long snapshotBytes(int tasks) {
    return Json.bytes(tableOf(tasks).snapshot().toJson()).length;
  }

  /** Returns the time to apply all records that accept and claim the given number of tasks. */
  private static long foldMicros(int tasks) {
    long startNanos = System.nanoTime();
    tableOf(tasks);
    return (System.nanoTime() - startNanos) / 1_000;
  }

  private static long announcementMicros(int vms) {
    MemberTable members = new MemberTable(3_000_000_000L);
    byte[][] frames = new byte[vms][];
    for (int vm = 0; vm < vms; vm++) {
      frames[vm] = announcement(vm).toByteArray();
    }
    long startNanos = 0;
    try {
      for (int pass = -WARM_UP_PASSES; pass < MEASURED_PASSES; pass++) {
        startNanos = pass == 0 ? System.nanoTime() : startNanos;
        for (byte[] frame : frames) {
          members.update(AnnouncementCodec.decode(Announce.parseFrom(frame)), pass);
        }
      }
    } catch (IOException | BrokenFrameException e) {
      throw new IllegalStateException(e);
    }
    return (System.nanoTime() - startNanos) / 1_000 / MEASURED_PASSES;
  }

  private static Announce announcement(int vm) {
    return AnnouncementCodec.encode(
        new Announcement(
            "vm-" + vm,
            1_796_247_304_222L,
            "zone-" + vm % 9,
            "rack-" + vm / 3,
            "10.0.0.1:8182",
            "10.0.0.1:8181",
            "parking",
            8,
            false,
            new TargetLoad(3, 1, 9, false),
            412));
  }

  private static int claimBytes() {
    return Json.bytes(TaskRecordCodec.body(claim("job-1/1", 1, 1))).length;
  }
}
