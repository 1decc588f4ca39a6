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
 * Task scheduling of an entry: claims waiting tasks, starts claimed ones and confirms the leases of
 * VMs.
 *
 * <p>The owner passes every TaskMessage of a side process to {@link #onMessage}, provides a {@link
 * TaskChannel} that uses the same peer names, and calls {@link #start} once the follower of the
 * stream {@code tasks} has caught up. The follower must fold into the given table, and the given
 * log must complete appends after the fold, as {@link AppenderTaskLog} does.
 *
 * <p>All state that must last is in the log, so that any entry may crash at any time.
 *
 * <p>Thread-safe; one lock guards everything.
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
   * Creates a scheduler; nothing runs before {@link #start}.
   *
   * @param identity the name and incarnation of this entry
   * @param table the task table that the follower of the stream folds into
   * @param log appends to the stream
   * @param channel sends messages to side processes
   * @param policy returns the policy of the configuration in force; called for each decision
   * @param clock the monotonic clock of this process
   * @param wallClock the wall clock, used only for the aging of jobs, their deadlines and events
   * @param random breaks ties between VMs
   * @param recorder receives events
   */
  public EntryTaskScheduler(
      EntryIdentity identity,
      TaskTable table,
      TaskLog log,
      TaskChannel channel,
      Supplier<TaskPolicy> policy,
      MonotonicClock clock,
      WallClock wallClock,
      RandomGenerator random,
      EventRecorder recorder) {
    requireNonNull(random, "random");
    this.context =
        new EntryContext(
            identity, table, log, channel, policy, clock, wallClock, recorder, this::runLocked);
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

  /** Starts the periodic ticks on the given scheduler. */
  public synchronized void start(ScheduledExecutorService scheduler) {
    ticking =
        scheduler.scheduleWithFixedDelay(
            this::tickSafely, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Handles a message of a side process. */
  public synchronized void onMessage(String peer, TaskMessage message) {
    switch (message.getKindCase()) {
      case ASK_VOUCH -> membership.onConfirmationRequest(peer, message.getAskVouch());
      case REPORT -> startLoop.onReport(peer, message.getReport());
      case USAGE -> placementModel.onUsage(message.getUsage());
      default -> {
        // A kind that only entries send, or one of a newer version.
      }
    }
  }

  /** Does all work that is due. Called by the scheduler, and by tests with a virtual clock. */
  public synchronized void tick() {
    membership.tick();
    placementModel.tick();
    startLoop.tick();
    preemptionLoop.tick();
    claimLoop.tick();
  }

  /** Stops the ticks. Running tasks go on and are managed by the other entries. */
  @Override
  public synchronized void close() {
    if (ticking != null) {
      ticking.cancel(false);
    }
  }

  /** Returns the reason for which a job's tasks wait; empty if this entry knows none. */
  synchronized String waitingReason(String job) {
    return claimLoop.waitingReason(job);
  }

  private void onFirstConfirmation(String vm) {
    context.table().vm(vm).ifPresent(startLoop::sweep);
  }

  private synchronized void runLocked(Runnable action) {
    action.run();
  }

  private void tickSafely() {
    try {
      tick();
    } catch (RuntimeException e) {
      // The executor cancels a periodic task that throws; this entry would then schedule no more.
      LOGGER.log(Level.ERROR, "event=entry-tasks-tick-failed", e);
    }
  }
}
