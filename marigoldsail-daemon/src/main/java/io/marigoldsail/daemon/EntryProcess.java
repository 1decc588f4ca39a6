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
import io.marigoldsail.daemon.task.AppenderTaskLog;
import io.marigoldsail.daemon.task.EntryTaskScheduler;
import io.marigoldsail.daemon.task.TaskLog;
import io.marigoldsail.daemon.task.TaskPolicy;
import io.marigoldsail.daemon.task.TaskRoutes;
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

/** An entry: serves callers and operators, decides about requests, claims tasks. */
final class EntryProcess implements DaemonProcess {
  private static final int EVENT_BUFFER_CAPACITY = 1 << 16;
  private static final int MAX_SIDE_PROCESSES = 2_000;

  /** How long the balancer may take to notice the bad health; it asks every second. */
  private static final long STOP_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * How long a publish waits for the log. Shorter than the operator's wait: else that ends first,
   * and all it can say during an outage is that the outcome is unknown, though nothing was
   * accepted.
   */
  private static final long PUBLISH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final EntrySettings settings;
  private final ProcessRuntime runtime;
  private final ScheduledExecutorService scheduler;
  private final LinkLoop loop;
  private final EntryLinks links;
  private final EntryReadiness readiness;
  private final EntryDispatcher dispatcher;
  private final CallerServer callers;
  private final StreamClient configurationStream;
  private final StreamClient taskStream;
  private final KeyShardTable keyShardTable;
  private final StreamClient keyShardStream;
  private final KeyShardCoordinator keyShardCoordinator;
  private final EntryMembership membership;
  private final EntryTaskScheduler tasks;
  private volatile TaskPolicy taskTerms = TaskPolicy.DEFAULT;
  private volatile boolean serving;

  EntryProcess(EntrySettings settings) {
    this.settings = settings;
    this.runtime = new ProcessRuntime(settings, EVENT_BUFFER_CAPACITY);
    this.scheduler = Executors.newScheduledThreadPool(2, DaemonThreads.named("entry-work"));
    this.loop = new LinkLoop("entry-loop", runtime.clock(), runtime.hybridClock());
    EntryIdentity identity = new EntryIdentity(settings.name(), runtime.incarnation());
    RequestScheduler policy =
        new RequestScheduler(SchedulerSettings.of(settings.zone()), new SplittableRandom());
    this.keyShardTable = new KeyShardTable(runtime.clock());
    this.keyShardStream =
        StreamClient.writer(runtime.streamDependencies(), KeyShardTable.STREAM, keyShardTable);
    this.readiness = new EntryReadiness(runtime.clock());
    this.dispatcher = newDispatcher(identity, policy);
    this.configurationStream =
        StreamClient.writer(
            runtime.streamDependencies(),
            ProcessRuntime.CONFIGURATION_STREAM,
            runtime.configurationFold());
    this.membership = new EntryMembership(settings, runtime);
    this.links =
        new EntryLinks(
            loop,
            settings.processesAddress().socketAddress(),
            MAX_SIDE_PROCESSES,
            identity,
            runtime::configurationRevision,
            membership::otherProcessesAddresses,
            runtime.events());
    this.keyShardCoordinator =
        new KeyShardCoordinator(loop, keyShardTable, keyShardStream.appender()::append, links);
    this.callers = newCallerServer();
    TaskTable table = new TaskTable();
    this.taskStream =
        StreamClient.writer(runtime.streamDependencies(), TaskFold.STREAM, new TaskFold(table));
    TaskLog taskLog = new AppenderTaskLog(taskStream.appender(), runtime.clock());
    Supplier<TaskPolicy> terms = () -> taskTerms;
    this.tasks = newTasks(table, taskLog, terms);
    links.addMemberListener(dispatcher.memberListener());
    links.addMemberListener(readiness);
    links.addTaskListener(
        (peer, message) -> scheduler.execute(() -> tasks.onMessage(peer, message)));
    runtime.configurationFold().addInForceListener(state -> configure(policy));
    registerRoutes(table, taskLog, terms);
  }

  private EntryDispatcher newDispatcher(EntryIdentity identity, RequestScheduler policy) {
    long answerBytes = Runtime.getRuntime().maxMemory() / 4;
    return new EntryDispatcher(
        loop,
        identity,
        policy,
        LinkSettings.DEFAULT,
        new ByteBudget(answerBytes),
        Optional.of(keyShardTable),
        service -> runtime.configuration().service(service).targetDetectsRepeats(),
        runtime.events(),
        new SplittableRandom());
  }

  private CallerServer newCallerServer() {
    return new CallerServer(
        runtime.clock(),
        settings.callersAddress().socketAddress(),
        CallerLimits.forHeap(),
        service ->
            OptionalLong.of(runtime.configuration().service(service).defaultDeadlineMillis()),
        dispatcher,
        () -> serving && readiness.isReady());
  }

  private EntryTaskScheduler newTasks(
      TaskTable table, TaskLog taskLog, Supplier<TaskPolicy> terms) {
    return new EntryTaskScheduler(
        new EntryIdentity(settings.name(), runtime.incarnation()),
        table,
        taskLog,
        new LinkTaskChannel(links),
        terms,
        runtime.clock(),
        WallClock.system(),
        new SplittableRandom(),
        runtime.events());
  }

  private void configure(RequestScheduler policy) {
    SchedulerSettings next = ConfiguredPolicies.scheduler(runtime.configuration(), settings.zone());
    loop.run(() -> policy.configure(next));
    taskTerms = ConfiguredPolicies.tasks(runtime.configuration());
  }

  private void registerRoutes(TaskTable table, TaskLog taskLog, Supplier<TaskPolicy> terms) {
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(
            runtime.configurationFold(),
            runtime.configurationCheck(),
            (type, body) ->
                configurationStream
                    .appender()
                    .append(type, body, runtime.clock().nanos() + PUBLISH_TIMEOUT_NANOS),
            runtime.events(),
            runtime.clock(),
            WallClock.system(),
            scheduler,
            settings.name() + "/" + runtime.incarnation());
    Supplier<java.util.List<io.marigoldsail.daemon.operators.ProcessMember>> members =
        () -> membership.members(links, loop);
    new ConfigurationRoutes(runtime.configurationFold(), publisher, members, runtime.clock())
        .registerOn(runtime.operators());
    new MemberRoutes(members).registerOn(runtime.operators());
    new JobRoutes(
            new TaskRoutes(table, taskLog, tasks, terms, WallClock.system(), runtime.events()))
        .registerOn(runtime.operators());
  }

  @Override
  public Result<Boolean> start() {
    Result<Integer> operators = runtime.operators().start();
    if (operators instanceof Result.Failed<Integer> failed) {
      return Result.failed(failed.failure());
    }
    Result<Boolean> listening =
        ServerStarter.start("addresses.processes", settings.processesAddress(), links::start)
            .then(
                started ->
                    ServerStarter.start(
                        "addresses.callers", settings.callersAddress(), callers::start));
    if (!listening.isOk()) {
      return listening;
    }
    dispatcher.start();
    configurationStream.start();
    runtime.catchUpFromPeers(configurationStream.follower());
    taskStream.start();
    keyShardStream.start();
    keyShardCoordinator.start();
    membership.start(scheduler);
    tasks.start(scheduler);
    readiness.started();
    serving = true;
    runtime.recordStarted();
    return listening;
  }

  /**
   * The planned stop: the health turns bad at once, so the balancer stops sending callers; those it
   * still sends are served for a grace time, and what is in progress ends.
   */
  @Override
  public void close() {
    if (serving) {
      serving = false;
      runtime.recordStopping();
      membership.announceDraining();
      drain();
    }
    callers.close();
    tasks.close();
    membership.close();
    taskStream.close();
    keyShardCoordinator.close();
    keyShardStream.close();
    configurationStream.close();
    links.close();
    dispatcher.close();
    loop.close();
    scheduler.shutdownNow();
    runtime.close();
  }

  private void drain() {
    Drain.await(dispatcher.beginStop(STOP_GRACE_NANOS));
  }
}
