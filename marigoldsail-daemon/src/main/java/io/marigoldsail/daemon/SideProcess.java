package io.marigoldsail.daemon;

import io.marigoldsail.daemon.configuration.ConfigurationRoutes;
import io.marigoldsail.daemon.dispatch.BodyLimits;
import io.marigoldsail.daemon.dispatch.MeasuredTarget;
import io.marigoldsail.daemon.dispatch.SideDispatcher;
import io.marigoldsail.daemon.dispatch.SideLimits;
import io.marigoldsail.daemon.dispatch.TargetClient;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.link.SideLinks;
import io.marigoldsail.daemon.platform.HttpWorker;
import io.marigoldsail.daemon.task.ServiceMonitor;
import io.marigoldsail.daemon.task.SideIdentity;
import io.marigoldsail.daemon.task.SideTaskRunner;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.error.Result;
import io.marigoldsail.guard.TailWindow;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.settings.HostPort;
import io.marigoldsail.settings.SideSettings;
import io.marigoldsail.settings.TargetSettings;
import io.marigoldsail.time.WallClock;
import java.net.URI;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A side process: stands between the entries and the target and worker of its VM. */
final class SideProcess implements DaemonProcess {
  private static final int EVENT_BUFFER_CAPACITY = 1 << 13;
  private static final long WORKER_TIMEOUT_MILLIS = 2_000;

  /** How far back the guard looks: long enough for a tail, short enough to see a wave's begin. */
  private static final long GUARD_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** The part of a VM's target, where it has one. */
  private record TargetComponents(
      TargetSettings settings,
      TargetClient client,
      SideDispatcher dispatcher,
      ServiceMonitor watch) {}

  private final SideSettings settings;
  private final ProcessRuntime runtime;
  private final LinkLoop loop;
  private final SideLinks links;
  private final StreamClient configurationStream;
  private final Optional<TargetComponents> target;
  private final Optional<SideTaskRunner> tasks;
  private boolean started;

  SideProcess(SideSettings settings) {
    this.settings = settings;
    this.runtime = new ProcessRuntime(settings, EVENT_BUFFER_CAPACITY);
    this.loop = new LinkLoop("side-loop", runtime.clock(), runtime.hybridClock());
    this.links =
        new SideLinks(
            loop,
            this::announcement,
            settings.entries().stream().map(HostPort::socketAddress).toList(),
            runtime.events(),
            new SplittableRandom());
    this.configurationStream =
        StreamClient.reader(
            runtime.streamDependencies(),
            ProcessRuntime.CONFIGURATION_STREAM,
            runtime.configurationFold());
    this.target = settings.target().map(this::newTargetPart);
    this.tasks = settings.worker().map(this::newTasks);
    ConfigurationRoutes.registerStateOn(runtime.operators(), runtime.configurationFold());
    // Operators wait for it, so it is told at once instead of with the next announcement.
    runtime
        .configurationFold()
        .addInForceListener(
            state -> {
              if (state.revisionInForce() > 0) {
                links.announceNow();
              }
            });
  }

  private TargetComponents newTargetPart(TargetSettings targetSettings) {
    ByteBudget budget = new ByteBudget(2L * BodyLimits.MAX_BYTES);
    TargetClient client =
        new TargetClient(loop, targetSettings.address(), targetSettings.connections(), "", budget);
    TailWindow window = new TailWindow(GUARD_WINDOW_NANOS);
    SideDispatcher dispatcher =
        new SideDispatcher(
            loop,
            settings.processesAddress().socketAddress(),
            new MeasuredTarget(client, window, runtime.clock()),
            SideLimits.forSlots(targetSettings.slots()),
            runtime.incarnation(),
            links,
            budget,
            runtime.events());
    dispatcher.onDrainingChanged(links::announceNow);
    links.addKeyListener(dispatcher.keyListener());
    ServiceMonitor watch =
        new ConfiguredServiceWatch(targetSettings.service(), window, runtime::configuration);
    return new TargetComponents(targetSettings, client, dispatcher, watch);
  }

  private SideTaskRunner newTasks(URI worker) {
    SideTaskRunner sideTasks =
        new SideTaskRunner(
            new SideIdentity(
                settings.name(), runtime.incarnation(), settings.zone(), settings.rack()),
            new HttpWorker(runtime.platform(), worker.toString(), WORKER_TIMEOUT_MILLIS),
            new LinkTaskChannel(links),
            target.map(TargetComponents::watch).orElseGet(ServiceMonitor::none),
            runtime.clock(),
            WallClock.system(),
            runtime.events());
    links.addTaskListener(sideTasks::onMessage);
    return sideTasks;
  }

  private Announcement announcement() {
    return new Announcement(
        settings.name(),
        runtime.incarnation(),
        settings.zone(),
        settings.rack(),
        settings.processesAddress().toString(),
        settings.operatorsAddress().toString(),
        target.map(part -> part.settings().service()).orElse(""),
        target.map(part -> part.settings().slots()).orElse(0),
        target.map(part -> part.dispatcher().isDraining()).orElse(false),
        target
            .map(part -> part.dispatcher().load())
            .orElse(new TargetLoad(0, 0, links.entryCount(), false)),
        runtime.configurationRevision());
  }

  @Override
  public Result<Boolean> start() {
    Result<Integer> operators = runtime.operators().start();
    if (operators instanceof Result.Failed<Integer> failed) {
      return Result.failed(failed.failure());
    }
    if (target.isPresent()) {
      TargetComponents part = target.get();
      Result<Boolean> listening =
          ServerStarter.start("target.address", settings.processesAddress(), part.client()::start)
              .then(
                  ready ->
                      ServerStarter.start(
                          "addresses.processes",
                          settings.processesAddress(),
                          part.dispatcher()::start));
      if (!listening.isOk()) {
        return listening;
      }
    }
    configurationStream.start();
    runtime.catchUpFromPeers(configurationStream.follower());
    links.start();
    tasks.ifPresent(SideTaskRunner::start);
    started = true;
    runtime.recordStarted();
    return Result.ok(true);
  }

  /**
   * The planned stop: leaving is announced, newcomers are turned away as not run, and requests in
   * progress end. Tasks go on under their leases for the next side process to adopt.
   */
  @Override
  public void close() {
    if (started) {
      started = false;
      runtime.recordStopping();
      tasks.ifPresent(SideTaskRunner::drain);
      target.ifPresent(SideProcess::drain);
    }
    tasks.ifPresent(SideTaskRunner::close);
    links.close();
    target.ifPresent(part -> part.dispatcher().close());
    target.ifPresent(part -> part.client().close());
    configurationStream.close();
    loop.close();
    runtime.close();
  }

  private static void drain(TargetComponents part) {
    Drain.await(part.dispatcher().beginStop());
  }
}
