package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableMap;
import io.marigoldsail.dispatch.RequestPolicy;
import io.marigoldsail.dispatch.RequestScheduler;
import io.marigoldsail.dispatch.SchedulerSettings;
import io.marigoldsail.dispatch.ServiceLimits;
import io.marigoldsail.dispatch.TargetQueueLimit;
import java.util.Locale;
import java.util.SplittableRandom;

/** The policies that are measured, each with the side process that belongs to it. */
enum PolicyKind {
  /** The product's decisions; a side process has a small waiting room. */
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

  /** The naive policy; requests wait beside the target without bound. */
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
