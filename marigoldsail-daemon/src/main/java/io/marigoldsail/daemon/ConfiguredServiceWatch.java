package io.marigoldsail.daemon;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.configuration.Configuration;
import io.marigoldsail.daemon.task.ServiceMonitor;
import io.marigoldsail.guard.GuardPolicy;
import io.marigoldsail.guard.ServiceReading;
import io.marigoldsail.guard.TailWindow;
import java.util.Optional;
import java.util.function.Supplier;

/** The service of this VM's target, held against the goal that the configuration sets. */
final class ConfiguredServiceWatch implements ServiceMonitor {
  private final String service;
  private final TailWindow window;
  private final Supplier<Configuration> configuration;

  ConfiguredServiceWatch(String service, TailWindow window, Supplier<Configuration> configuration) {
    this.service = requireNonNull(service, "service");
    this.window = requireNonNull(window, "window");
    this.configuration = requireNonNull(configuration, "configuration");
  }

  @Override
  public Optional<ServiceReading> reading(long nowNanos) {
    return window.reading(configuration.get().service(service).tailLatencyGoalMillis(), nowNanos);
  }

  @Override
  public GuardPolicy policy() {
    return ConfiguredPolicies.guard(configuration.get());
  }
}
