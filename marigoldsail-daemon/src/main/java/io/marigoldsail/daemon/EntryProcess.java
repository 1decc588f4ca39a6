package io.marigoldsail.daemon;

import io.marigoldsail.configuration.ConfigurationPublisher;
import io.marigoldsail.daemon.configuration.ConfigurationRoutes;
import io.marigoldsail.daemon.dispatch.CallerLimits;
import io.marigoldsail.daemon.dispatch.CallerServer;
import io.marigoldsail.daemon.dispatch.EntryDispatcher;
import io.marigoldsail.daemon.dispatch.KeyShardCoordinator;
import io.marigoldsail.daemon.dispatch.LinkSettings;
import io.marigoldsail.daemon.link.EntryLinks;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.operators.MemberRoutes;
import io.marigoldsail.daemon.task.EntryTasks;
import io.marigoldsail.daemon.task.FollowedTaskLog;
import io.marigoldsail.daemon.task.TaskLog;
import io.marigoldsail.daemon.task.TaskRoutes;
import io.marigoldsail.daemon.task.TaskTerms;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.dispatch.RequestScheduler;
import io.marigoldsail.dispatch.SchedulerSettings;
import io.marigoldsail.error.Result;
import io.marigoldsail.idempotency.KeyShardTable;
import io.marigoldsail.job.TaskFold;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.membership.EntryIdentity;
import io.marigoldsail.settings.EntrySettings;
import io.marigoldsail.time.WallClock;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** An entry process: serves callers and operators, schedules requests, and claims tasks. */
final class EntryProcess implements DaemonProcess {
  private static final int KEPT_EVENTS = 1 << 16;
  private static final int MAX_SIDE_PROCESSES = 2_000;

  /** Time for the load balancer, which polls every second, to notice the failing health check. */
  private static final long STOP_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * How long a publish waits for the log. Must be shorter than the timeout of the operator's request:
   * otherwise that one ends first and during a log outage reports an unknown outcome, although
   * nothing was accepted.
   */
  private static final long PUBLISH_KEEP_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final EntrySettings settings;
  private final ProcessBase base;
  private final ScheduledExecutorService scheduler;
  private final LinkLoop loop;
  private final EntryLinks links;
  private final EntryReadiness readiness;
  private final EntryDispatcher dispatcher;
  private final CallerServer callers;
  private final StreamClient configurationStream;
  private final StreamClient taskStream;
  private final KeyShardTable keyTable;
  private final StreamClient keyStream;
  private final KeyShardCoordinator keyHomes;
  private final EntryRoster roster;
  private final EntryTasks tasks;
  private volatile TaskTerms taskTerms = TaskTerms.DEFAULT;
  private volatile boolean serving;

  EntryProcess(EntrySettings settings) {
    this.settings = settings;
    this.base = new ProcessBase(settings, KEPT_EVENTS);
    this.scheduler = Executors.newScheduledThreadPool(2, DaemonThreads.named("entry-work"));
    this.loop = new LinkLoop("entry-loop", base.clock(), base.hybridClock());
    EntryIdentity identity = new EntryIdentity(settings.name(), base.incarnation());
    RequestScheduler policy =
        new RequestScheduler(SchedulerSettings.of(settings.zone()), new SplittableRandom());
    this.keyTable = new KeyShardTable(base.clock());
    this.keyStream = StreamClient.writer(base.shared(), KeyShardTable.STREAM, keyTable);
    this.readiness = new EntryReadiness(base.clock());
    this.dispatcher = newDispatcher(identity, policy);
    this.configurationStream =
        StreamClient.writer(
            base.shared(), ProcessBase.CONFIGURATION_STREAM, base.configurationFold());
    this.roster = new EntryRoster(settings, base);
    this.links =
        new EntryLinks(
            loop,
            settings.processesAddress().socketAddress(),
            MAX_SIDE_PROCESSES,
            identity,
            base::configurationRevision,
            roster::otherProcessesAddresses,
            base.events());
    this.keyHomes = new KeyShardCoordinator(loop, keyTable, keyStream.appender()::append, links);
    this.callers = newCallerServer();
    TaskTable table = new TaskTable();
    this.taskStream = StreamClient.writer(base.shared(), TaskFold.STREAM, new TaskFold(table));
    TaskLog taskLog = new FollowedTaskLog(taskStream.appender(), base.clock());
    Supplier<TaskTerms> terms = () -> taskTerms;
    this.tasks = newTasks(table, taskLog, terms);
    links.addMemberListener(dispatcher.memberListener());
    links.addMemberListener(readiness);
    links.addTaskListener(
        (peer, message) -> scheduler.execute(() -> tasks.onMessage(peer, message)));
    base.configurationFold().onInForce(state -> configure(policy));
    registerRoutes(table, taskLog, terms);
  }

  private EntryDispatcher newDispatcher(EntryIdentity identity, RequestScheduler policy) {
    long responseBytes = Runtime.getRuntime().maxMemory() / 4;
    return new EntryDispatcher(
        loop,
        identity,
        policy,
        LinkSettings.DEFAULT,
        new ByteBudget(responseBytes),
        Optional.of(keyTable),
        service -> base.configuration().service(service).targetDetectsRepeats(),
        base.events(),
        new SplittableRandom());
  }

  private CallerServer newCallerServer() {
    return new CallerServer(
        base.clock(),
        settings.callersAddress().socketAddress(),
        CallerLimits.forHeap(),
        service -> OptionalLong.of(base.configuration().service(service).defaultDeadlineMillis()),
        dispatcher,
        () -> serving && readiness.isReady());
  }

  private EntryTasks newTasks(TaskTable table, TaskLog taskLog, Supplier<TaskTerms> terms) {
    return new EntryTasks(
        new EntryIdentity(settings.name(), base.incarnation()),
        table,
        taskLog,
        new LinkTaskChannel(links),
        terms,
        base.clock(),
        WallClock.system(),
        new SplittableRandom(),
        base.events());
  }

  private void configure(RequestScheduler policy) {
    SchedulerSettings next = ConfiguredPolicies.scheduler(base.configuration(), settings.zone());
    loop.run(() -> policy.configure(next));
    taskTerms = ConfiguredPolicies.tasks(base.configuration());
  }

  private void registerRoutes(TaskTable table, TaskLog taskLog, Supplier<TaskTerms> terms) {
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(
            base.configurationFold(),
            base.configurationCheck(),
            (type, body) ->
                configurationStream
                    .appender()
                    .append(type, body, base.clock().nanos() + PUBLISH_KEEP_NANOS),
            base.events(),
            base.clock(),
            WallClock.system(),
            scheduler,
            settings.name() + "/" + base.incarnation());
    Supplier<java.util.List<io.marigoldsail.daemon.operators.ProcessMember>> members =
        () -> roster.members(links, loop);
    new ConfigurationRoutes(base.configurationFold(), publisher, members, base.clock())
        .registerOn(base.operators());
    new MemberRoutes(members).registerOn(base.operators());
    new JobRoutes(new TaskRoutes(table, taskLog, tasks, terms, WallClock.system(), base.events()))
        .registerOn(base.operators());
  }

  @Override
  public Result<Boolean> start() {
    Result<Integer> operators = base.operators().start();
    if (operators instanceof Result.Failed<Integer> failed) {
      return Result.failed(failed.failure());
    }
    Result<Boolean> listening =
        Listening.at("addresses.processes", settings.processesAddress(), links::start)
            .then(
                started ->
                    Listening.at("addresses.callers", settings.callersAddress(), callers::start));
    if (!listening.isOk()) {
      return listening;
    }
    dispatcher.start();
    configurationStream.start();
    base.catchUpFromPeers(configurationStream.follower());
    taskStream.start();
    keyStream.start();
    keyHomes.start();
    roster.start(scheduler);
    tasks.start(scheduler);
    readiness.started();
    serving = true;
    base.recordStarted();
    return listening;
  }

  /**
   * Shuts down gracefully. The health check fails immediately, so that the load balancer stops
   * sending callers. Callers that still arrive are served for a grace period, and requests in
   * progress are completed.
   */
  @Override
  public void close() {
    if (serving) {
      serving = false;
      base.recordStopping();
      roster.leave();
      drain();
    }
    callers.close();
    tasks.close();
    roster.close();
    taskStream.close();
    keyHomes.close();
    keyStream.close();
    configurationStream.close();
    links.close();
    dispatcher.close();
    loop.close();
    scheduler.shutdownNow();
    base.close();
  }

  private void drain() {
    Drain.await(dispatcher.beginStop(STOP_GRACE_NANOS));
  }
}
