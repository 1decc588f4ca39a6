package io.marigoldsail.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The product's {@link RequestPolicy}: one {@link ServiceScheduler} for each service, so that a
 * full service takes nothing from another one.
 *
 * <p>Not safe for use by several threads. Services are known from their targets and kept while they
 * have targets or requests; a request for a service without targets is refused at once.
 */
public final class RequestScheduler implements RequestPolicy {
  private final RandomGenerator random;
  private final Map<String, ServiceScheduler> services = new HashMap<>();
  private final Map<String, String> serviceOfVm = new HashMap<>();
  private final Map<Long, ServiceScheduler> pending = new HashMap<>();
  private SchedulerSettings settings;

  /** Creates a scheduler that knows no targets. */
  public RequestScheduler(SchedulerSettings settings, RandomGenerator random) {
    this.settings = requireNonNull(settings, "settings");
    this.random = requireNonNull(random, "random");
  }

  /** Replaces the settings; what already waits is not refused for it. */
  public void configure(SchedulerSettings newSettings) {
    settings = requireNonNull(newSettings, "newSettings");
    services.forEach((name, service) -> service.configure(newSettings.limitsOf(name)));
  }

  @Override
  public List<Decision> requestArrived(Arrival arrival, long now) {
    ServiceScheduler service = services.get(arrival.service());
    if (service == null) {
      return ImmutableList.of(ServiceScheduler.refusedWithoutTarget(arrival, random));
    }
    pending.put(arrival.request(), service);
    return removeRefused(service.requestArrived(arrival, now));
  }

  @Override
  public List<Decision> targetsChanged(List<TargetState> targets, long now) {
    Map<String, List<TargetState>> byService = new HashMap<>();
    services.keySet().forEach(name -> byService.put(name, new ArrayList<>()));
    serviceOfVm.clear();
    for (TargetState target : targets) {
      byService.computeIfAbsent(target.service(), name -> new ArrayList<>()).add(target);
      serviceOfVm.put(target.vm(), target.service());
    }
    List<Decision> decisions = new ArrayList<>();
    byService.forEach((name, list) -> decisions.addAll(updateService(name, list, now)));
    return removeRefused(decisions);
  }

  private List<Decision> updateService(String name, List<TargetState> targets, long now) {
    ServiceScheduler service =
        services.computeIfAbsent(
            name, key -> new ServiceScheduler(settings.zone(), settings.limitsOf(key), random));
    List<Decision> decisions = service.targetsChanged(targets, now);
    if (service.isIdle()) {
      services.remove(name);
    }
    return decisions;
  }

  @Override
  public List<Decision> loadReported(String vm, TargetLoad load, long now) {
    String name = serviceOfVm.get(vm);
    if (name == null) {
      return ImmutableList.of();
    }
    return removeRefused(services.get(name).loadReported(vm, load, now));
  }

  @Override
  public List<Decision> attemptEnded(long request, String vm, AttemptOutcome outcome, long now) {
    ServiceScheduler service = pending.get(request);
    if (service == null) {
      return ImmutableList.of();
    }
    List<Decision> decisions = service.attemptEnded(request, vm, outcome, now);
    if (!service.isPending(request)) {
      pending.remove(request);
    }
    return removeRefused(decisions);
  }

  @Override
  public List<Decision> callerDisconnected(long request, long now) {
    ServiceScheduler service = pending.get(request);
    if (service == null) {
      return ImmutableList.of();
    }
    service.callerDisconnected(request);
    pending.remove(request);
    return ImmutableList.of();
  }

  @Override
  public boolean isPending(long request) {
    return pending.containsKey(request);
  }

  @Override
  public List<Decision> wake(long now) {
    List<Decision> decisions = new ArrayList<>();
    services.values().forEach(service -> decisions.addAll(service.wake(now)));
    return removeRefused(decisions);
  }

  @Override
  public long nextWake() {
    long next = Long.MAX_VALUE;
    for (ServiceScheduler service : services.values()) {
      next = Math.min(next, service.nextWake());
    }
    return next;
  }

  /** Returns the VMs whose targets are eased off now, over all services, for operators. */
  public List<String> ejectedVms() {
    return services.values().stream().flatMap(service -> service.ejectedVms().stream()).toList();
  }

  /** Returns how many requests wait, by service, for operators. */
  public Map<String, Integer> waiting() {
    return services.entrySet().stream()
        .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, e -> e.getValue().waiting()));
  }

  private List<Decision> removeRefused(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Refuse refuse) {
        pending.remove(refuse.request());
      }
    }
    return decisions;
  }
}
