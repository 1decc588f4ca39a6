package io.marigoldsail.daemon.task;

import io.marigoldsail.guard.GuardPolicy;
import io.marigoldsail.guard.ServiceReading;
import java.util.Optional;

/** What the guard of a VM knows of the service beside its tasks. Safe for any thread. */
public interface ServiceMonitor {
  /** Returns how the service does, or empty if there is none or it serves too little to tell. */
  Optional<ServiceReading> reading(long nowNanos);

  /** Returns what the configuration in force says about guarding. */
  GuardPolicy policy();

  /** Returns a watch of no service: nothing is ever throttled for it. */
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
