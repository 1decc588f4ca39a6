package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.TaskTable;
import io.marigoldsail.membership.EntryIdentity;
import io.marigoldsail.placement.Placer;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;
import io.marigoldsail.timeline.EventRecorder;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The tasks' part of an entry: claims waiting tasks, has them started, keeps VMs vouched for.
 *
 * <p>Wiring: feed {@link #onMessage} with every TaskMessage that a side process sends, give a
 * {@link TaskChannel} that sends to side processes by the names used there, and call {@link #start}
 * with a scheduler once the follower of the stream {@code tasks} has caught up once. The table must
 * be the one that the follower folds into, the log one that completes appends after the fold, such
 * as {@link AppenderTaskLog}. Entries keep nothing of their own that another could not read from
 * the log; any of them may die at any point.
 *
 * <p>Safe for any thread; one lock guards everything.
 */
public final class EntryTaskScheduler implements AutoCloseable {
  private static final Logger LOGGER = System.getLogger(EntryTaskScheduler.class.getName());
  private static final long TICK_MILLIS = 50;

  private final EntryContext context;
  private final VmMembership membership;
  private final StartLoop startLoop;
  private final PreemptionLoop preemptionLoop;
  private final ClaimLoop claimLoop;
  private final PlacementModel placementModel;
  private ScheduledFuture<?> ticking;

  /**
   * Creates the tasks' part of an entry; nothing runs before {@link #start}.
   *
   * @param identity which entry this is
   * @param table what the log says, folded by the follower of the stream
   * @param log the way to append to the stream
   * @param channel the way to side processes
   * @param terms what the configuration in force says, asked anew at each decision
   * @param clock this process's clock
   * @param wallClock this VM's clock, for the queue's aging and the time line only
   * @param random breaks ties between VMs
   * @param recorder the time line
   */
  public EntryTaskScheduler(
      EntryIdentity identity,
      TaskTable table,
      TaskLog log,
      TaskChannel channel,
      Supplier<TaskPolicy> terms,
      MonotonicClock clock,
      WallClock wallClock,
      RandomGenerator random,
      EventRecorder recorder) {
    requireNonNull(random, "random");
    this.context =
        new EntryContext(
            identity, table, log, channel, terms, clock, wallClock, recorder, this::runLocked);
    this.membership = new VmMembership(context, this::onFirstConfirmation);
    this.placementModel = new PlacementModel(context);
    this.startLoop = new StartLoop(context, membership, placementModel::expectedSlowdown);
    this.preemptionLoop = new PreemptionLoop(context, membership);
    this.claimLoop =
        new ClaimLoop(
            context,
            membership,
            startLoop,
            new Placer(placementModel.costs(), random),
            placementModel,
            preemptionLoop);
  }

  /** Begins to work on the given scheduler. */
  public synchronized void start(ScheduledExecutorService scheduler) {
    ticking =
        scheduler.scheduleWithFixedDelay(
            this::tickSafely, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Takes in a message of a side process. */
  public synchronized void onMessage(String peer, TaskMessage message) {
    switch (message.getKindCase()) {
      case ASK_VOUCH -> membership.onConfirmationRequest(peer, message.getAskVouch());
      case REPORT -> startLoop.onReport(peer, message.getReport());
      case USAGE -> placementModel.onUsage(message.getUsage());
      default -> {
        // Kinds that only entries send, or that a newer version added.
      }
    }
  }

  /** Does what is due now. Called by the scheduler; tests call it on a virtual clock. */
  public synchronized void tick() {
    membership.tick();
    placementModel.tick();
    startLoop.tick();
    preemptionLoop.tick();
    claimLoop.tick();
  }

  /** Stops deciding; tasks go on, looked after by the other entries. */
  @Override
  public synchronized void close() {
    if (ticking != null) {
      ticking.cancel(false);
    }
  }

  /** Returns why a job's tasks wait, as far as this entry knows; may be empty. */
  synchronized String waitingReason(String job) {
    return claimLoop.waitingReason(job);
  }

  private void onFirstConfirmation(String vm) {
    context.table().vm(vm).ifPresent(startLoop::sweep);
  }

  private synchronized void runLocked(Runnable step) {
    step.run();
  }

  private void tickSafely() {
    try {
      tick();
    } catch (RuntimeException e) {
      // A thrown exception would end the schedule for good, and with it all claims of this entry.
      LOGGER.log(Level.ERROR, "event=entry-tasks-tick-failed", e);
    }
  }
}
