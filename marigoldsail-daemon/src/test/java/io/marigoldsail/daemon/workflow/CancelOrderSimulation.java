package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A seeded simulation of callers that submit and cancel the same workflows in every order, at
 * different entries, while the store, the entries and the assignment of partitions fail. Entries
 * and side processes are the real ones, on virtual time. Two simulations of a seed are equal.
 */
final class CancelOrderSimulation {
  private static final int ENTRIES = 3;
  private static final int VMS = 2;
  private static final int WORKFLOWS = 40;
  private static final long CHECK_INTERVAL_MILLIS = 500;
  private static final long RETENTION_MILLIS = 120_000;
  private static final long SETTLED_MILLIS = 5_000;
  private static final long ACTIVE_MILLIS = 16_000;

  /** Time after the last fault in which everything is in order again, in milliseconds. */
  private static final long RECOVERY_MILLIS = 14_000;

  /** Time in which a cancelled task ends where nothing fails, in milliseconds. */
  private static final long STOP_MILLIS = 4_000;

  private static final long POST_TIMEOUT_MILLIS = 2_000;

  /** Time in which a query is answered, in milliseconds; with the way to the entry and back. */
  private static final long QUERY_TIMEOUT_MILLIS = 1_100;

  /** A seed without faults in each so many. */
  private static final int CALM_SEEDS = 4;

  private final VirtualCluster cluster = new VirtualCluster();
  private final SplittableRandom random;
  private final boolean calm;
  private final CancelOracle oracle = new CancelOracle(cluster::millis);
  private final List<VirtualCluster.Entry> entries = new ArrayList<>();
  private final List<VirtualCluster.Side> sides = new ArrayList<>();
  private final CancelOrderFaults faults;
  private boolean recovered;

  CancelOrderSimulation(long seed) {
    random = new SplittableRandom(seed);
    calm = seed % CALM_SEEDS == 0;
    faults = new CancelOrderFaults(cluster, random.split(), entries, oracle);
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(cluster.addEntry(i, RETENTION_MILLIS));
    }
    for (int i = 0; i < VMS; i++) {
      VirtualCluster.Side side = cluster.addSide("vm-" + i);
      side.onStart(run -> started(side, run));
      sides.add(side);
    }
  }

  /** Runs the simulation; returns the first violation with its history, if any. */
  Optional<String> run() {
    advance(SETTLED_MILLIS);
    entries.forEach(entry -> entry.store.setFates(faults.inOrder()));
    for (long workflow = 1; workflow <= WORKFLOWS; workflow++) {
      plan(workflow);
    }
    if (!calm) {
      faults.schedule(ACTIVE_MILLIS, this::restart);
    }
    advance(ACTIVE_MILLIS + RECOVERY_MILLIS);
    recovered = true;
    checkStatuses();
    checkCancels();
    return oracle.violation();
  }

  private void advance(long millis) {
    long until = cluster.millis() + millis;
    while (cluster.millis() < until && oracle.violation().isEmpty()) {
      cluster.advance(Math.min(CHECK_INTERVAL_MILLIS, until - cluster.millis()));
    }
  }

  private void restart(int index) {
    VirtualCluster.Entry killed = entries.get(index);
    oracle.note(killed.memberPrefix() + " is killed");
    killed.kill();
    cluster.after(
        random.nextLong(100, 3_000),
        () -> {
          oracle.note(killed.memberPrefix() + " starts again");
          VirtualCluster.Entry successor = cluster.addEntry(index, RETENTION_MILLIS);
          successor.store.setFates(faults.inOrder());
          entries.set(index, successor);
        });
  }

  /** Schedules the calls of one workflow. */
  private void plan(long workflow) {
    long firstAt = random.nextLong(1, ACTIVE_MILLIS - 4_000);
    switch (random.nextInt(8)) {
      case 0 -> at(firstAt, () -> post(workflow, 3, () -> {}));
      case 1 -> at(firstAt, () -> cancel(workflow, 5));
      case 2 -> {
        // The cancel is sent first, and answered or not.
        at(firstAt, () -> cancel(workflow, 5));
        at(firstAt + random.nextLong(0, 3_000), () -> post(workflow, 2, () -> {}));
      }
      case 3 -> {
        at(firstAt, () -> post(workflow, 2, () -> {}));
        at(firstAt + random.nextLong(0, 50), () -> cancel(workflow, 5));
      }
      case 4 -> {
        // An answer that the caller does not wait for.
        at(firstAt, () -> post(workflow, 1, () -> {}));
        at(firstAt + random.nextLong(1, 5_000), () -> cancel(workflow, 5));
      }
      case 5 ->
          at(
              firstAt,
              () ->
                  post(
                      workflow,
                      3,
                      () -> {
                        repeatPost(workflow);
                        cancelSoon(workflow, 400);
                      }));
      case 6 -> at(firstAt, () -> post(workflow, 3, () -> cancelAsPartitionsMove(workflow)));
      default -> at(firstAt, () -> post(workflow, 3, () -> cancelSoon(workflow, 40)));
    }
    for (int i = random.nextInt(3); i > 0; i--) {
      at(firstAt + random.nextLong(1, 8_000), () -> query(workflow, false, answer -> {}));
    }
    if (random.nextInt(3) == 0) {
      at(firstAt + random.nextLong(1, 4_000), () -> repeatPost(workflow));
    }
  }

  private void at(long millis, Runnable call) {
    cluster.after(millis, call);
  }

  private void repeatPost(long workflow) {
    at(random.nextLong(0, 3_000), () -> post(workflow, 1, () -> {}));
  }

  private void cancelSoon(long workflow, long maxMillis) {
    at(random.nextLong(0, maxMillis), () -> cancel(workflow, 5));
  }

  private void cancelAsPartitionsMove(long workflow) {
    if (!calm) {
      at(random.nextLong(0, 60), faults::reassign);
    }
    cancelSoon(workflow, 40);
  }

  private VirtualCluster.Entry anyEntry() {
    return entries.get(random.nextInt(entries.size()));
  }

  /** Submits the workflow, at another entry again if no answer accepts it. */
  private void post(long workflow, int attempts, Runnable onAccepted) {
    VirtualCluster.Entry entry = anyEntry();
    boolean[] done = new boolean[1];
    oracle.note(workflow, "POST at " + entry.memberPrefix());
    entry.execute(
        () ->
            entry
                .entry()
                .submit(WorkflowTestCluster.workflow(workflow, 1))
                .thenAccept(
                    result -> at(1, () -> posted(workflow, attempts, onAccepted, done, result))));
    at(
        POST_TIMEOUT_MILLIS,
        () ->
            posted(workflow, attempts, onAccepted, done, new WorkflowStore.AppendUnknown("late")));
  }

  private void posted(
      long workflow, int attempts, Runnable onAccepted, boolean[] done, AppendResult result) {
    if (done[0]) {
      return;
    }
    done[0] = true;
    oracle.note(workflow, "POST answered " + result.getClass().getSimpleName());
    if (result instanceof Appended) {
      oracle.accepted(workflow);
      onAccepted.run();
    } else if (attempts > 1) {
      at(random.nextLong(1, 500), () -> post(workflow, attempts - 1, onAccepted));
    }
  }

  /** Cancels the workflow, at another entry again if the answer does not tell its end. */
  private void cancel(long workflow, int attempts) {
    oracle.cancelSent(workflow);
    long sentAt = cluster.millis();
    query(
        workflow,
        true,
        answer -> {
          oracle.cancelAnswered(workflow, sentAt, answer);
          if (answer == QueryResult.UNAVAILABLE && attempts > 1) {
            at(random.nextLong(1, 1_000), () -> cancel(workflow, attempts - 1));
          } else if (random.nextInt(4) == 0) {
            at(random.nextLong(1, 4_000), () -> cancel(workflow, 1));
          }
        });
  }

  private void query(long workflow, boolean cancel, Consumer<QueryResult> onAnswer) {
    VirtualCluster.Entry entry = anyEntry();
    String call = cancel ? "DELETE" : "GET";
    long sentAt = cluster.millis();
    boolean[] done = new boolean[1];
    oracle.note(workflow, call + " at " + entry.memberPrefix());
    Consumer<QueryResult> once =
        answer -> {
          if (!done[0]) {
            done[0] = true;
            oracle.note(workflow, call + " answered " + answer);
            oracle.expect(
                answer != QueryResult.UNAVAILABLE || !(calm || recovered),
                workflow,
                call + " is not answered though nothing fails");
            if (!cancel) {
              oracle.statusAnswered(workflow, sentAt, answer, calm || recovered);
            }
            onAnswer.accept(answer);
          }
        };
    entry.execute(
        () ->
            entry
                .entry()
                .query(TestIds.id(workflow), "queue", cancel)
                .thenAccept(answer -> at(1, () -> once.accept(answer))));
    at(QUERY_TIMEOUT_MILLIS, () -> once.accept(QueryResult.UNAVAILABLE));
  }

  /**
   * Records the start, and ends some runs after a while; the others last until they are stopped.
   */
  private void started(VirtualCluster.Side side, RunKey run) {
    long workflow = TestIds.number(run.task().workflow());
    oracle.started(workflow, run.toString());
    if (workflow % 3 == 0) {
      at(
          random.nextLong(200, 4_000),
          () -> {
            if (side.worker().isActive(run)) {
              side.worker().endRun(run);
            }
          });
    }
  }

  private boolean isActive(long workflow) {
    return sides.stream().anyMatch(side -> side.worker().isRunning(workflow));
  }

  /** Checks what all workflows have come to, with nothing failing for long. */
  private void checkStatuses() {
    for (long workflow = 1; workflow <= WORKFLOWS; workflow++) {
      long each = workflow;
      at(1, () -> query(each, false, answer -> checkStatus(each, answer)));
    }
    advance(QUERY_TIMEOUT_MILLIS + 10);
  }

  private void checkStatus(long workflow, QueryResult answer) {
    boolean accepted = oracle.isAccepted(workflow);
    oracle.expect(
        !accepted || answer != QueryResult.UNKNOWN_WORKFLOW, workflow, "accepted but not known");
    if (oracle.isCancelAnswered(workflow)) {
      oracle.expect(
          answer.status().isEmpty() || answer.status().get().isTerminal(),
          workflow,
          "its cancel was answered, and it is " + answer);
      oracle.expect(!isActive(workflow), workflow, "its cancel was answered, and a task runs");
    } else if (accepted && !oracle.isCancelSent(workflow)) {
      oracle.expect(
          answer == QueryResult.RUNNING || answer == QueryResult.DONE,
          workflow,
          "nobody cancelled it, and it is " + answer);
      oracle.expect(oracle.hasStarted(workflow), workflow, "nobody cancelled it; never started");
    }
  }

  /** Cancels all workflows: each that exists ends, and every cancel is answered. */
  private void checkCancels() {
    for (long workflow = 1; workflow <= WORKFLOWS; workflow++) {
      long each = workflow;
      at(1, () -> cancel(each, 1));
    }
    advance(QUERY_TIMEOUT_MILLIS + STOP_MILLIS);
    for (long workflow = 1; workflow <= WORKFLOWS; workflow++) {
      oracle.expect(!isActive(workflow), workflow, "a task runs after its cancel");
    }
  }
}
