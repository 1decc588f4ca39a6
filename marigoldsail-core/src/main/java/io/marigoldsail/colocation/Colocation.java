package io.marigoldsail.colocation;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The service tasks and best-effort tasks that share one VM: the speed of the latter, and the room
 * that is left for more of them.
 *
 * <p>Answers bursts of heavy best-effort work on a fleet whose processors are booked by services
 * that leave half of them idle. Work that costs the services of this VM nothing gets all idle
 * processors; other work is admitted as far as the predicted headroom of each service allows, and
 * is slowed down when a service comes near its target all the same. Three readings in a row over
 * the target stop all best-effort tasks, since users notice a tail that lasts seconds.
 *
 * <p>Confined to one thread. Rejects nulls. Times are monotonic nanoseconds.
 */
public final class Colocation {
  /** Headroom that best-effort work leaves each service: tails are rough figures. */
  static final double MARGIN = 1.15;

  /** Consecutive readings over the target after which all best-effort tasks are stopped. */
  static final int MAX_CONSECUTIVE_OVER = 3;

  /** Minimum time between two decisions, in nanoseconds: readings cover half a second. */
  static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

  /** Time after its start for which the tail of a service is not used, in nanoseconds. */
  private static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * Room is reported in steps of this much headroom, so that it does not change with each reading.
   */
  private static final double ROOM_STEP = 0.25;

  /**
   * Reading of a service task.
   *
   * @param task identifies the task; readings of a task have equal identities
   * @param image its image
   * @param headroom its target divided by its tail latency; empty if there is no measurement
   */
  public record ServiceReading(Object task, String image, OptionalDouble headroom) {
    /**
     * Returns the reading of a tail.
     *
     * @param tail in milliseconds; 0 if there is no measurement
     * @param target in milliseconds
     */
    public static ServiceReading of(Object task, String image, long tail, long target) {
      return new ServiceReading(
          task,
          image,
          tail > 0 ? OptionalDouble.of((double) target / tail) : OptionalDouble.empty());
    }

    boolean isOver() {
      return headroom.isPresent() && headroom.getAsDouble() < 1;
    }
  }

  /**
   * Reading of a best-effort task.
   *
   * @param image its image
   * @param used the processors in use, as a fraction of the VM's; 0 if not measured yet
   * @param declared the processors that it declares, as a fraction of the VM's
   */
  public record BestEffortReading(String image, double used, double declared) {}

  private static final class Service {
    private final String image;
    private final long since;
    private final HeadroomForecast forecast = new HeadroomForecast();
    private double headroom;
    private boolean measured;

    Service(String image, long since) {
      this.image = image;
      this.since = since;
    }
  }

  private final InterferenceModel model;
  private final Map<Object, Service> services = new HashMap<>();
  private Map<String, Double> used = Map.of();
  private Map<String, Double> demand = Map.of();
  private ImmutableMap<String, Double> speeds = ImmutableMap.of();
  private ServiceRooms rooms;
  private int consecutiveOver;
  private long observedAt = Long.MIN_VALUE;

  /**
   * Creates the state of a VM without tasks.
   *
   * @param model learns from the readings of this VM
   */
  public Colocation(InterferenceModel model) {
    this.model = requireNonNull(model, "model");
    this.rooms = ServiceRooms.of(Map.of(), model);
  }

  /**
   * Records the readings of all tasks of the VM; ignores readings that follow too soon.
   *
   * @return whether the speeds have changed
   */
  public boolean observe(
      List<ServiceReading> serviceReadings, List<BestEffortReading> bestEffort, long now) {
    if (observedAt != Long.MIN_VALUE && now - observedAt < PERIOD_NANOS) {
      return false;
    }
    observedAt = now;
    Map<String, Double> usedNow = sum(bestEffort, false);
    learn(serviceReadings, usedNow, now);
    used = usedNow;
    demand = sum(bestEffort, true);
    boolean over =
        !bestEffort.isEmpty() && serviceReadings.stream().anyMatch(ServiceReading::isOver);
    consecutiveOver = over ? consecutiveOver + 1 : 0;
    ImmutableMap<String, Double> before = speeds;
    speeds = decideSpeeds(serviceReadings);
    rooms = decideRooms();
    return !speeds.equals(before);
  }

  private static Map<String, Double> sum(List<BestEffortReading> readings, boolean atFullSpeed) {
    Map<String, Double> sums = new HashMap<>();
    for (BestEffortReading each : readings) {
      double expected = each.declared() * ServiceRooms.USED_OF_DECLARED;
      sums.merge(each.image(), atFullSpeed ? expected : each.used(), Double::sum);
    }
    return sums;
  }

  private void learn(List<ServiceReading> readings, Map<String, Double> usedNow, long now) {
    Map<String, Double> changes = new HashMap<>(usedNow);
    used.forEach((image, before) -> changes.merge(image, -before, Double::sum));
    Set<Object> present = new HashSet<>();
    for (ServiceReading reading : readings) {
      present.add(reading.task());
      Service service = services.get(reading.task());
      if (service == null) {
        service = new Service(reading.image(), now);
        services.put(reading.task(), service);
      }
      if (now - service.since >= SETTLING_NANOS && reading.headroom().isPresent()) {
        learn(service, reading.headroom().getAsDouble(), changes);
        service.forecast.observe(service.headroom + lost(service.image, usedNow), now);
      }
      service.measured = reading.headroom().isPresent();
    }
    services.keySet().retainAll(present);
  }

  /** Compares two successive measurements of a service; a gap between them shows nothing. */
  private void learn(Service service, double headroom, Map<String, Double> changes) {
    if (service.measured && service.headroom > 0) {
      model.observe(service.image, service.headroom, headroom, changes);
    }
    service.headroom = headroom;
  }

  /** Returns the headroom that work of the given amounts takes from services of the image. */
  private double lost(String serviceImage, Map<String, Double> work) {
    return work.entrySet().stream()
        .mapToDouble(each -> model.effect(each.getKey(), serviceImage) * each.getValue())
        .sum();
  }

  private ImmutableMap<String, Double> decideSpeeds(List<ServiceReading> readings) {
    if (consecutiveOver >= MAX_CONSECUTIVE_OVER) {
      ImmutableMap.Builder<String, Double> stopped = ImmutableMap.builder();
      demand.keySet().forEach(image -> stopped.put(image, 0.0));
      return stopped.buildOrThrow();
    }
    List<HeadroomAllocator.Service> states = new ArrayList<>();
    for (ServiceReading reading : readings) {
      Service service = services.get(reading.task());
      double spare = service.forecast.present() - MARGIN;
      boolean stillOver = consecutiveOver > 1 && reading.isOver();
      states.add(new HeadroomAllocator.Service(service.image, spare, stillOver));
    }
    return ImmutableMap.copyOf(HeadroomAllocator.speeds(states, demand, model::effect));
  }

  private ServiceRooms decideRooms() {
    Map<String, Double> byImage = new TreeMap<>();
    for (Service service : services.values()) {
      double room = service.forecast.expected() - MARGIN - lost(service.image, demand);
      byImage.merge(service.image, Math.floor(room / ROOM_STEP) * ROOM_STEP, Math::min);
    }
    return ServiceRooms.of(byImage, model);
  }

  /** Returns the speed at which tasks of the image may work, in percent of their full speed. */
  public int percent(String image) {
    double initial = consecutiveOver >= MAX_CONSECUTIVE_OVER ? 0 : 1;
    return (int) Math.round(100 * speeds.getOrDefault(image, initial));
  }

  /** Returns the speeds of all images that work here, in percent, see {@link #percent}. */
  public ImmutableMap<String, Integer> percents() {
    ImmutableMap.Builder<String, Integer> percents = ImmutableMap.builder();
    speeds.keySet().forEach(image -> percents.put(image, percent(image)));
    return percents.buildOrThrow();
  }

  /** Returns the largest effect of each image that works here on a service here. */
  public ImmutableMap<String, Double> largestEffects() {
    ImmutableMap.Builder<String, Double> effects = ImmutableMap.builder();
    for (String image : speeds.keySet()) {
      double largest =
          services.values().stream()
              .mapToDouble(service -> model.effect(image, service.image))
              .max()
              .orElse(0);
      effects.put(image, Math.round(largest * 10) / 10.0);
    }
    return effects.buildOrThrow();
  }

  /** Returns for how many consecutive readings a service has been over its target. */
  public int consecutiveOver() {
    return consecutiveOver;
  }

  /** Returns the room for more best-effort tasks; without services, room for any. */
  public ServiceRooms rooms() {
    return rooms;
  }

  /**
   * Records that a task was admitted since the last reading, which does not know it.
   *
   * @param declared processors that it declares, as a fraction of the VM's
   */
  public void recordAdmitted(String image, double declared) {
    rooms = rooms.after(image, declared);
  }
}
