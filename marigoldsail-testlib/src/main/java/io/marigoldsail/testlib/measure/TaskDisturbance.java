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
    void begin(TaskBench bench) {
      bench.vm(0).failAll();
    }
  },
  /** Most jobs, waiting and running, are cancelled at once. */
  CANCEL_WAVE {
    @Override
    void at(TaskBench bench, long nowMillis) {
      if (nowMillis == TaskBench.HORIZON_MILLIS / 3) {
        bench.cancelMost();
      }
    }
  },
  /** A VM fails without notice, and later two more at the same time. */
  VM_LOSS {
    @Override
    void at(TaskBench bench, long nowMillis) {
      if (nowMillis == TaskBench.HORIZON_MILLIS / 4) {
        bench.lose(2);
      }
      if (nowMillis == TaskBench.HORIZON_MILLIS / 2) {
        bench.lose(5);
        bench.lose(6);
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

  private static final long USUAL_SERVICE = 5_000;

  long serviceMilliProcessors(int vm, long nowMillis) {
    return USUAL_SERVICE;
  }

  void begin(TaskBench bench) {}

  void at(TaskBench bench, long nowMillis) {}

  boolean logDown(long nowMillis) {
    return false;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
