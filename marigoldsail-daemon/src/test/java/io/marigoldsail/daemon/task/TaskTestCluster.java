package io.marigoldsail.daemon.task;

import io.marigoldsail.guard.GuardPolicy;
import io.marigoldsail.guard.ServiceReading;
import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.JobState;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.Spread;
import io.marigoldsail.job.TaskClass;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.job.TaskTable;
import io.marigoldsail.lease.LeaseTerms;
import io.marigoldsail.membership.EntryIdentity;
import io.marigoldsail.protocol.TaskMessage;
import io.marigoldsail.testlib.VirtualClock;
import io.marigoldsail.testlib.history.TaskHistory;
import io.marigoldsail.testlib.platform.FakeWorker;
import io.marigoldsail.testlib.platform.WorkerRun;
import io.marigoldsail.timeline.EventRecorder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Entries, side processes, fake workers, a fake log and a fake network on one virtual clock; every
 * part but those fakes is the real one.
 */
final class TaskTestCluster {
  static final long STEP_MILLIS = 50;
  static final LeaseTerms LEASES = new LeaseTerms(5_000, 10_000, 4_000);

  private static final long NANOS_PER_MILLI = 1_000_000;

  private record MessageInTransit(long dueNanos, String from, String to, TaskMessage message) {}

  /** A VM with its worker, and the side process that is on it now. */
  final class Vm {
    private final String name;
    private FakeWorker worker;
    private SideTaskRunner side;
    private boolean paused;
    private long processCount;
    private double pressure;

    Vm(String name, Sizes capacity) {
      this.name = name;
      this.worker = new FakeWorker(name, capacity, clock);
      workers.add(worker);
    }

    FakeWorker worker() {
      return worker;
    }

    /** Starts a side process, in place of the one before. */
    void startSide() {
      processCount++;
      paused = false;
      SideIdentity identity =
          new SideIdentity(name, clock.nanos() + processCount, "zone-1", "rack-" + name);
      Channel channel = new Channel(name, entries::keySet);
      side =
          new SideTaskRunner(
              identity, worker, channel, new FakeService(this), clock, clock, EventRecorder.none());
    }

    /** Slows the VM's service to so many times its goal. */
    void pressure(double newPressure) {
      pressure = newPressure;
    }

    void killSide() {
      side = null;
    }

    /** Freezes or wakes the side process; what reaches it meanwhile waits for it. */
    void pauseSide(boolean nowFrozen) {
      paused = nowFrozen;
    }

    /** Puts another machine under this VM's name; the old one lives on, unreachable. */
    void replace(Sizes capacity) {
      worker = new FakeWorker(name + "-new", capacity, clock);
      worker.reboot();
      workers.add(worker);
      startSide();
    }
  }

  /** A service whose tail latency is what a test says. */
  private record FakeService(Vm vm) implements ServiceMonitor {
    @Override
    public Optional<ServiceReading> reading(long nowNanos) {
      return Optional.of(new ServiceReading(vm.pressure, 1, nowNanos));
    }

    @Override
    public GuardPolicy policy() {
      return GuardPolicy.DEFAULT;
    }
  }

  /** An entry with its own view of the log. */
  final class Entry {
    private final TaskTable table = new TaskTable();
    private final Map<Long, List<Runnable>> onApplied = new TreeMap<>();
    private EntryTaskScheduler tasks;
    private int applied;
    private long lagMillis;

    Entry(String name) {
      EntryIdentity identity = new EntryIdentity(name, clock.nanos() + 1);
      tasks =
          new EntryTaskScheduler(
              identity,
              table,
              record -> log.append(this, record),
              new Channel(name, vms::keySet),
              () -> new TaskPolicy(leases, Map.of(), GuardPolicy.DEFAULT),
              clock,
              clock,
              new Random(7),
              EventRecorder.none());
    }

    TaskTable table() {
      return table;
    }

    void setLag(long millis) {
      lagMillis = millis;
    }

    void runAfterApplied(long position, Runnable step) {
      onApplied.computeIfAbsent(position, unused -> new ArrayList<>()).add(step);
    }

    private void applyVisible() {
      if (log.down()) {
        return;
      }
      while (applied < log.size() && log.writtenNanos(applied) <= visibleUntilNanos()) {
        long position = applied;
        table.apply(position, log.record(applied));
        applied++;
        List<Runnable> steps = onApplied.remove(position);
        if (steps != null) {
          steps.forEach(Runnable::run);
        }
      }
    }

    private long visibleUntilNanos() {
      return clock.nanos() - lagMillis * NANOS_PER_MILLI;
    }
  }

  private final class Channel implements TaskChannel {
    private final String own;
    private final Supplier<Set<String>> peers;

    Channel(String own, Supplier<Set<String>> peers) {
      this.own = own;
      this.peers = peers;
    }

    @Override
    public boolean send(String peer, TaskMessage message) {
      if (cut.contains(own) || cut.contains(peer) || cut.contains(own + ">" + peer)) {
        return true;
      }
      long transit = random.nextInt(3 * (int) NANOS_PER_MILLI);
      messages.add(new MessageInTransit(clock.nanos() + transit, own, peer, message));
      return true;
    }

    @Override
    public List<String> peers() {
      return List.copyOf(peers.get());
    }
  }

  private final LeaseTerms leases;
  private final VirtualClock clock = new VirtualClock();
  private final Random random;
  private final FakeTaskLog log = new FakeTaskLog(clock);
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<String, Vm> vms = new LinkedHashMap<>();
  private final List<FakeWorker> workers = new ArrayList<>();
  private final List<MessageInTransit> messages = new ArrayList<>();
  private final Set<String> cut = new HashSet<>();

  TaskTestCluster(long seed, int entryCount, int vmCount, Sizes capacity) {
    this(seed, entryCount, vmCount, capacity, LEASES);
  }

  TaskTestCluster(long seed, int entryCount, int vmCount, Sizes capacity, LeaseTerms leases) {
    this.leases = leases;
    random = new Random(seed);
    clock.advance(1_000 * NANOS_PER_MILLI);
    for (int i = 1; i <= entryCount; i++) {
      startEntry("entry-" + i);
    }
    for (int i = 1; i <= vmCount; i++) {
      Vm vm = new Vm("vm-" + i, capacity);
      vms.put(vm.name, vm);
      vm.startSide();
    }
  }

  FakeTaskLog log() {
    return log;
  }

  VirtualClock clock() {
    return clock;
  }

  Vm vm(int number) {
    return vms.get("vm-" + number);
  }

  Entry entry(int number) {
    return entries.get("entry-" + number);
  }

  void startEntry(String name) {
    entries.put(name, new Entry(name));
  }

  void killEntry(String name) {
    entries.remove(name);
  }

  /** Loses every message from or to a process, or those of one direction: {@code from>to}. */
  void cut(String what) {
    cut.add(what);
  }

  void reconnect(String what) {
    cut.remove(what);
  }

  void submit(JobSpec job) {
    log.write(new TaskRecord.JobAccepted(job, clock.millis()));
  }

  void cancel(String job) {
    log.write(new TaskRecord.JobCancelled(job, "cancelled by test"));
  }

  static JobSpec job(String name, int count, long runMillis) {
    return job(name, count, runMillis, 1_000);
  }

  static JobSpec job(String name, int count, long runMillis, long checkpointMillis) {
    return new JobSpec(
        name,
        "team",
        TaskClass.BATCH,
        count,
        new Sizes(1_000, 1_000, 0),
        "work=" + runMillis,
        runMillis,
        false,
        0,
        true,
        checkpointMillis,
        Spread.NONE);
  }

  void run(long millis) {
    long until = clock.nanos() + millis * NANOS_PER_MILLI;
    while (clock.nanos() < until) {
      step();
    }
  }

  /** Runs until every job has ended, at most so long; returns whether they did. */
  boolean runUntilEnded(long mostMillis) {
    long until = clock.nanos() + mostMillis * NANOS_PER_MILLI;
    while (clock.nanos() < until && !ended()) {
      step();
    }
    return ended();
  }

  JobState jobState(String job) {
    return log.referenceTable().job(job).orElseThrow();
  }

  List<TaskState> tasks(String job) {
    return log.referenceTable().tasksOf(job);
  }

  /** Returns all runs of the workers' own records, by start. */
  List<WorkerRun> runs() {
    List<WorkerRun> runs = new ArrayList<>();
    workers.forEach(worker -> runs.addAll(worker.runs()));
    runs.sort(Comparator.comparingLong(WorkerRun::startMillis));
    return runs;
  }

  /** Returns what the workers' records show against "every task runs in exactly one place". */
  List<String> violations() {
    return TaskHistory.violations(runs(), clock.millis());
  }

  long askedOverCapacity() {
    return workers.stream().mapToLong(FakeWorker::rejectedOverCapacity).sum();
  }

  private boolean ended() {
    return log.referenceTable().jobs().isEmpty();
  }

  private void step() {
    clock.advance(STEP_MILLIS * NANOS_PER_MILLI);
    deliver();
    log.processAppends();
    for (Entry entry : List.copyOf(entries.values())) {
      entry.applyVisible();
      entry.tasks.tick();
    }
    for (Vm vm : vms.values()) {
      if (vm.side != null && !vm.paused) {
        vm.side.step();
      }
    }
  }

  private void deliver() {
    List<MessageInTransit> due = new ArrayList<>();
    for (MessageInTransit letter : messages) {
      Vm vm = vms.get(letter.to());
      boolean waits = vm != null && vm.paused;
      if (letter.dueNanos() <= clock.nanos() && !waits) {
        due.add(letter);
      }
    }
    messages.removeAll(due);
    due.sort(Comparator.comparingLong(MessageInTransit::dueNanos));
    for (MessageInTransit letter : due) {
      Vm vm = vms.get(letter.to());
      Entry entry = entries.get(letter.to());
      if (vm != null && vm.side != null) {
        vm.side.onMessage(letter.from(), letter.message());
      } else if (entry != null) {
        entry.tasks.onMessage(letter.from(), letter.message());
      }
    }
  }
}
