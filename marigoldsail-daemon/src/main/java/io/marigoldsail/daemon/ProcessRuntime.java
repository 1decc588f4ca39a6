package io.marigoldsail.daemon;

import io.marigoldsail.configuration.Configuration;
import io.marigoldsail.configuration.ConfigurationCheck;
import io.marigoldsail.configuration.ConfigurationFold;
import io.marigoldsail.daemon.configuration.PeerCatchUp;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.observe.Metrics;
import io.marigoldsail.daemon.operators.EventRoutes;
import io.marigoldsail.daemon.operators.OperatorServer;
import io.marigoldsail.daemon.platform.HttpLogService;
import io.marigoldsail.daemon.platform.PeerClient;
import io.marigoldsail.daemon.platform.PlatformClient;
import io.marigoldsail.log.StreamFollower;
import io.marigoldsail.settings.ProcessSettings;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.Event;
import io.marigoldsail.timeline.EventBuffer;
import io.marigoldsail.timeline.EventKind;
import io.marigoldsail.timeline.EventRecorder;
import io.marigoldsail.timeline.HybridClock;
import io.prometheus.metrics.instrumentation.jvm.JvmMemoryMetrics;
import java.util.concurrent.ThreadLocalRandom;

/** What processes of both roles have: clocks, events, metrics, operators' server, configuration. */
final class ProcessRuntime implements AutoCloseable {
  /** The name of the configuration's stream. */
  static final String CONFIGURATION_STREAM = "configuration";

  private static final EventLog LOG = EventLog.of(ProcessRuntime.class);
  private static final long LOG_TIMEOUT_MILLIS = 3_000;

  private final ProcessSettings settings;
  private final MonotonicClock clock = MonotonicClock.system();
  private final HybridClock hybridClock = new HybridClock(WallClock.system());
  private final Metrics metrics = new Metrics();
  private final EventRecorder events;
  private final OperatorServer operators;
  private final PlatformClient platform;
  private final StreamClient.Dependencies streamDependencies;
  private final ConfigurationCheck configurationCheck = new ConfigurationCheck();
  private final ConfigurationFold configuration = new ConfigurationFold(configurationCheck);

  /** Kept merged, since every request asks for it. */
  private volatile Configuration currentConfiguration;

  private PeerCatchUp peerCatchUp;

  /**
   * Creates the parts; nothing listens yet.
   *
   * @param settings the process's settings
   * @param keptEvents how many events of the time line are kept
   */
  ProcessRuntime(ProcessSettings settings, int keptEvents) {
    this.settings = settings;
    EventBuffer buffer = new EventBuffer(settings.name(), hybridClock, keptEvents);
    this.events = new CountingEventRecorder(buffer, metrics);
    this.operators = new OperatorServer(settings.operatorsAddress(), metrics);
    this.platform = PlatformClient.start(settings.name());
    long incarnation = ProcessIncarnations.next(WallClock.system(), ThreadLocalRandom.current());
    this.streamDependencies =
        new StreamClient.Dependencies(
            new HttpLogService(platform, settings.logService().toString(), LOG_TIMEOUT_MILLIS),
            settings.name(),
            incarnation,
            clock,
            events,
            new StreamStatusReporter(metrics, operators));
    new EventRoutes(buffer).registerOn(operators);
    JvmMemoryMetrics.builder().register(metrics.registry());
    metrics.gauge(
        "configuration_revision",
        "The configuration revision in force in this process",
        () -> configuration.state().revisionInForce());
    metrics.gauge(
        "configuration_broken_records",
        "Configuration records passed over since the start, broken or never checked",
        configuration::invalidRecordCount);
    configuration.addInForceListener(
        state -> {
          currentConfiguration = state.configuration(settings.site());
          if (state.revisionInForce() > 0) {
            events.record(
                Event.of(EventKind.CONFIGURATION_IN_FORCE)
                    .withDetail("revision " + state.revisionInForce()));
            LOG.info(
                LogLine.of("configuration-in-force").with("revision", state.revisionInForce()));
          }
        });
  }

  MonotonicClock clock() {
    return clock;
  }

  HybridClock hybridClock() {
    return hybridClock;
  }

  EventRecorder events() {
    return events;
  }

  Metrics metrics() {
    return metrics;
  }

  OperatorServer operators() {
    return operators;
  }

  PlatformClient platform() {
    return platform;
  }

  /** Returns what streams need; its incarnation is the process's own. */
  StreamClient.Dependencies streamDependencies() {
    return streamDependencies;
  }

  long incarnation() {
    return streamDependencies.incarnation();
  }

  ConfigurationCheck configurationCheck() {
    return configurationCheck;
  }

  ConfigurationFold configurationFold() {
    return configuration;
  }

  /** Returns what is in force at this process's site. */
  Configuration configuration() {
    return currentConfiguration;
  }

  long configurationRevision() {
    return configuration.state().revisionInForce();
  }

  /** Takes the configuration from the peers in the settings while the log does not answer. */
  void catchUpFromPeers(StreamFollower configurationFollower) {
    PeerClient client = new PeerClient(platform);
    peerCatchUp =
        new PeerCatchUp(
            settings.peers(),
            client::get,
            configuration,
            () -> configurationFollower.status().outage());
    peerCatchUp.start();
  }

  void recordStarted() {
    events.record(Event.of(EventKind.PROCESS_STARTED).withDetail(settings.role()));
    LOG.info(
        LogLine.of("process-started")
            .with("role", settings.role())
            .with("incarnation", incarnation()));
  }

  void recordStopping() {
    events.record(Event.of(EventKind.PROCESS_STOPPING).withDetail(settings.role()));
  }

  @Override
  public void close() {
    if (peerCatchUp != null) {
      peerCatchUp.close();
    }
    operators.close();
    platform.close();
  }
}
