package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A VM: its worker, its side process, which is restarted when it dies, and its connections. */
final class SimulatedVm {
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long CONNECT_MILLIS = 120;
  private static final long MAX_DOWN_MILLIS = 1_200;
  private static final int DIES_ONE_IN = 60;

  private record Cut(SimulatedOwner owner, boolean reports, boolean orders, long until) {}

  private final String name;
  private final SimulatedTime time;
  private final SplittableRandom random;
  private final RunOracle oracle;
  private final int partitions;
  private final WorkerLeaseTerms terms;
  private final SimulatedWorker worker;
  private final CallFaults faults = new CallFaults();
  private final List<SimulatedOwner> owners;
  private final Map<SimulatedOwner, SimulatedLink> links = new LinkedHashMap<>();
  private final List<Cut> cuts = new ArrayList<>();
  private Map<Integer, String> ownerMap = Map.of();
  private SimulatedSideProcess side;
  private long generation;
  private long startSideAt;
  private long diesAmongMessagesUntil;

  SimulatedVm(
      String name,
      WorkerRestart restart,
      SimulatedTime time,
      SplittableRandom random,
      RunOracle oracle,
      int partitions,
      WorkerLeaseTerms terms,
      List<SimulatedOwner> owners) {
    this.name = name;
    this.time = time;
    this.random = random;
    this.oracle = oracle;
    this.partitions = partitions;
    this.terms = terms;
    this.owners = owners;
    this.worker = new SimulatedWorker(name, restart, time, random.split(), oracle);
    worker.boot();
    startSide();
    time.every(HEARTBEAT_MILLIS, this::heartbeat);
    time.every(CONNECT_MILLIS, this::connect);
  }

  CallFaults faults() {
    return faults;
  }

  SimulatedWorker worker() {
    return worker;
  }

  SimulatedSideProcess side() {
    return side;
  }

  /** Kills the side process; it is restarted up to a second later. */
  void killSide() {
    if (side.isAlive()) {
      side.kill();
    }
  }

  /** Lets the side process die before or after some of the messages that it handles until then. */
  void dieAmongMessages(long millis) {
    diesAmongMessagesUntil = time.now() + millis;
  }

  private boolean diesNow() {
    return time.now() < diesAmongMessagesUntil && random.nextInt(DIES_ONE_IN) == 0;
  }

  private void startSide() {
    oracle.note(() -> "SIDE " + name + " starts");
    startSideAt = 0;
    side =
        new SimulatedSideProcess(
            name,
            time,
            oracle,
            partitions,
            terms,
            ownerMap,
            this::diesNow,
            caller ->
                new SimulatedWorkerCalls(
                    time, random.split(), worker, faults, oracle, caller::deliver));
  }

  /** Ends the worker's incarnation; another one begins after the time in milliseconds. */
  void crashWorker(long downMillis) {
    if (worker.isUp()) {
      worker.crash();
      time.after(downMillis, worker::boot);
    }
  }

  /** Tells the side process of the owners, unless it knows a later generation. */
  void ownersChanged(long newGeneration, Map<Integer, String> newOwners) {
    if (newGeneration < generation) {
      return;
    }
    generation = newGeneration;
    ownerMap = newOwners;
    SimulatedSideProcess told = side;
    told.deliver(() -> told.ownersChanged(newOwners));
  }

  /** Cuts the connection to an owner, and those opened meanwhile. */
  void cut(SimulatedOwner owner, boolean reports, boolean orders, long millis, boolean closes) {
    oracle.note(
        () ->
            name
                + " cut from "
                + owner.name()
                + " for "
                + millis
                + " reports "
                + reports
                + " orders "
                + orders);
    Cut cut = new Cut(owner, reports, orders, time.now() + millis);
    cuts.add(cut);
    SimulatedLink link = links.get(owner);
    if (link != null) {
      link.cut(reports, orders, cut.until());
      if (closes) {
        time.after(random.nextLong(millis + 1), link::close);
      }
    }
  }

  private void heartbeat() {
    if (!worker.isSilent()) {
      SimulatedSideProcess receiver = side;
      WorkerHeartbeat heartbeat = worker.heartbeat();
      receiver.deliver(() -> receiver.heartbeat(heartbeat));
    }
  }

  private void connect() {
    if (!side.isAlive()) {
      return;
    }
    for (SimulatedOwner owner : owners) {
      SimulatedLink link = links.get(owner);
      if (link == null || !link.isOpenTo(side)) {
        open(owner);
      }
    }
  }

  private void open(SimulatedOwner owner) {
    SimulatedLink link = new SimulatedLink(time, random.split(), owner, side);
    links.put(owner, link);
    for (Cut cut : cuts) {
      if (cut.owner() == owner && cut.until() > time.now()) {
        link.cut(cut.reports(), cut.orders(), cut.until());
      }
    }
    SimulatedSideProcess dialling = side;
    dialling.deliver(() -> dialling.connected(link));
  }

  /** Applies the passing of time; call this in each step. */
  void step() {
    worker.step();
    side.step();
    if (!side.isAlive()) {
      if (startSideAt == 0) {
        startSideAt = time.now() + random.nextLong(20, MAX_DOWN_MILLIS);
      } else if (startSideAt <= time.now()) {
        startSide();
      }
    }
  }
}
