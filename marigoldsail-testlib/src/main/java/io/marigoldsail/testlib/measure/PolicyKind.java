package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableMap;
import io.marigoldsail.dispatch.RequestPolicy;
import io.marigoldsail.dispatch.RequestScheduler;
import io.marigoldsail.dispatch.SchedulerSettings;
import io.marigoldsail.dispatch.ServiceLimits;
import io.marigoldsail.dispatch.TargetQueueLimit;
import java.util.Locale;
import java.util.SplittableRandom;

/** The measured policies, each with the queue capacity of its side processes. */
enum PolicyKind {
  /** The production scheduler, with a small queue at each target. */
  MARIGOLDSAIL {
    @Override
    RequestPolicy create(String zone, long seed) {
      SchedulerSettings settings =
          new SchedulerSettings(zone, ServiceLimits.DEFAULT, ImmutableMap.of());
      return new RequestScheduler(settings, new SplittableRandom(seed));
    }

    @Override
    int queueCapacity(int slots) {
      return TargetQueueLimit.forSlots(slots);
    }
  },

  /** The baseline policy, with an unbounded queue at each target. */
  BASELINE {
    @Override
    RequestPolicy create(String zone, long seed) {
      return new BaselinePolicy();
    }

    @Override
    int queueCapacity(int slots) {
      return Integer.MAX_VALUE;
    }
  };

  abstract RequestPolicy create(String zone, long seed);

  abstract int queueCapacity(int slots);

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
