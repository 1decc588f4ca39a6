package io.marigoldsail.daemon.task;

import io.marigoldsail.guard.GuardPolicy;
import io.marigoldsail.guard.ServiceReading;
import java.util.Optional;

/** Monitors the service that shares a VM with tasks, for the VM's guard. Thread-safe. */
public interface ServiceMonitor {
  /** Returns the latest reading, or empty if there is no service or too few requests to measure. */
  Optional<ServiceReading> reading(long nowNanos);

  /** Returns the guard policy of the configuration in force. */
  GuardPolicy policy();

  /** Returns a monitor for a VM without a service, on which no task is ever throttled. */
  static ServiceMonitor none() {
    return new ServiceMonitor() {
      @Override
      public Optional<ServiceReading> reading(long nowNanos) {
        return Optional.empty();
      }

      @Override
      public GuardPolicy policy() {
        return GuardPolicy.DEFAULT;
      }
    };
  }
}
