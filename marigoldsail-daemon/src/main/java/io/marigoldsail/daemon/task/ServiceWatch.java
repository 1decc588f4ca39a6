package io.marigoldsail.daemon.task;

import io.marigoldsail.guard.GuardPolicy;
import io.marigoldsail.guard.ServiceReading;
import java.util.Optional;

/** What the guard of a VM knows of the service beside its tasks. Safe for any thread. */
public interface ServiceWatch {
  /** Returns how the service does, or empty if there is none or it serves too little to tell. */
  Optional<ServiceReading> reading(long nowNanos);

  /** Returns what the configuration in force says about guarding. */
  GuardPolicy terms();

  /** Returns a watch of no service: nothing is ever throttled for it. */
  static ServiceWatch none() {
    return new ServiceWatch() {
      @Override
      public Optional<ServiceReading> reading(long nowNanos) {
        return Optional.empty();
      }

      @Override
      public GuardPolicy terms() {
        return GuardPolicy.DEFAULT;
      }
    };
  }
}
