package io.marigoldsail.testlib.measure;

import java.util.Locale;

/** The disturbances of the fleet in simulations of tasks. */
enum TaskDisturbance {
  /** A wave of interfering tasks arrives. */
  NOISY_WAVE,
  /** The load of the service moves from one half of the VMs to the other. */
  LOAD_SHIFT {
    @Override
    long serviceMilliProcessors(int vm, long nowMillis) {
      boolean firstHalf = nowMillis < TaskBench.HORIZON_MILLIS / 2;
      boolean loaded = (vm % 2 == 0) == firstHalf && nowMillis > TaskBench.HORIZON_MILLIS / 6;
      return loaded ? 9_000 : super.serviceMilliProcessors(vm, nowMillis);
    }
  },
  /** Declared sizes are three times the usage, or less than half of it. */
  WRONG_SIZES,
  /** One worker fails all tasks. */
  BAD_WORKER {
    @Override
    void onStart(TaskBench bench) {
      bench.vm(0).failAllTasks();
    }
  },
  /** Most jobs, waiting and running, are cancelled at once. */
  CANCEL_WAVE {
    @Override
    void onTick(TaskBench bench, long nowMillis) {
      if (nowMillis == TaskBench.HORIZON_MILLIS / 3) {
        bench.cancelMostJobs();
      }
    }
  },
  /** A VM fails without notice, and later two more at the same time. */
  VM_LOSS {
    @Override
    void onTick(TaskBench bench, long nowMillis) {
      if (nowMillis == TaskBench.HORIZON_MILLIS / 4) {
        bench.failVm(2);
      }
      if (nowMillis == TaskBench.HORIZON_MILLIS / 2) {
        bench.failVm(5);
        bench.failVm(6);
      }
    }
  },
  /** The log is down for a minute, half the duration of a batch lease. */
  LOG_OUTAGE {
    @Override
    boolean logDown(long nowMillis) {
      long start = TaskBench.HORIZON_MILLIS / 3;
      return nowMillis >= start && nowMillis < start + 60_000;
    }
  };

  private static final long DEFAULT_SERVICE_MILLI_PROCESSORS = 5_000;

  long serviceMilliProcessors(int vm, long nowMillis) {
    return DEFAULT_SERVICE_MILLI_PROCESSORS;
  }

  void onStart(TaskBench bench) {}

  void onTick(TaskBench bench, long nowMillis) {}

  boolean logDown(long nowMillis) {
    return false;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
