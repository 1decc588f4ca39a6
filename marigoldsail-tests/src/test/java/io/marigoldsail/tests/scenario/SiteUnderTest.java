package io.marigoldsail.tests.scenario;

import com.google.common.net.HostAndPort;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.testlib.fault.ProcessFleet;
import io.marigoldsail.testlib.fault.TcpFaultProxy;
import io.marigoldsail.testlib.platform.FakeLogService;
import io.marigoldsail.testlib.platform.LogFaults;
import io.marigoldsail.testlib.platform.StandInLogService;
import io.marigoldsail.testlib.platform.StandInTarget;
import io.marigoldsail.testlib.platform.StandInWorker;
import io.marigoldsail.testlib.platform.TargetFaults;
import io.marigoldsail.testlib.platform.TargetRun;
import io.marigoldsail.testlib.platform.WorkerRun;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A site with a stand-in platform in this process, and entries and side processes as real
 * processes.
 */
final class SiteUnderTest implements AutoCloseable {
  private static final String MAIN = "io.marigoldsail.daemon.Main";
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 64;
  private static final long SERVICE_MILLIS = 3;
  private static final Sizes VM_SIZES = new Sizes(16_000, 60L << 30, 0);
  private static final long START_SECONDS = 60;

  /** The listen addresses of one entry. */
  record EntryAddresses(String callers, String operators, String processes) {}

  private final Path directory;
  private final ProcessFleet fleet;
  private final StandInLogService log = new StandInLogService("127.0.0.1", 0).start();
  private final Map<String, EntryAddresses> entries = new LinkedHashMap<>();
  private final List<TcpFaultProxy> proxies = new ArrayList<>();
  private final boolean proxied;
  private final Map<String, StandInTarget> targets = new LinkedHashMap<>();
  private final Map<String, StandInWorker> workers = new LinkedHashMap<>();

  SiteUnderTest(int entryCount, int vmCount) {
    this(entryCount, vmCount, false);
  }

  /**
   * Starts a site.
   *
   * @param proxied whether side processes connect to entries through a proxy. Requires a single
   *     entry, since entries announce the listen addresses of other entries, which bypass the proxy
   */
  SiteUnderTest(int entryCount, int vmCount, boolean proxied) {
    this.proxied = proxied;
    try {
      directory = Files.createTempDirectory("marigoldsail-site");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    fleet =
        new ProcessFleet(
            directory, List.of("-XX:+UseSerialGC", "-Xmx128m", "-XX:TieredStopAtLevel=1"));
    for (int i = 1; i <= entryCount; i++) {
      addEntry("entry-" + i, "zone-" + i);
    }
    for (int i = 1; i <= vmCount; i++) {
      addVm("vm-" + i, "zone-" + i);
    }
    entries.keySet().forEach(this::start);
    targets.keySet().forEach(this::start);
    SiteOperators operators = operators();
    fleet.await(
        "all members", START_SECONDS, () -> operators.memberCount() == entryCount + vmCount);
    callersAddresses()
        .forEach(
            entry ->
                fleet.await("health of " + entry, START_SECONDS, () -> SiteCallers.isReady(entry)));
  }

  private void addEntry(String name, String zone) {
    EntryAddresses addresses =
        new EntryAddresses(FreePorts.address(), FreePorts.address(), FreePorts.address());
    entries.put(name, addresses);
    if (proxied) {
      proxies.add(new TcpFaultProxy(HostAndPort.fromString(addresses.processes()).getPort()));
    }
    write(
        name,
        """
        {"role": "entry", "name": "%s", "site": "vatulele", "zone": "%s",
         "addresses": {"callers": "%s", "operators": "%s", "processes": "%s"},
         "logService": "%s"}
        """
            .formatted(
                name,
                zone,
                addresses.callers(),
                addresses.operators(),
                addresses.processes(),
                log.address()));
  }

  private void addVm(String name, String zone) {
    StandInTarget target = new StandInTarget(name, "127.0.0.1", 0, SLOTS, CONNECTIONS);
    target.setFaults(TargetFaults.ofServiceMillis(SERVICE_MILLIS));
    targets.put(name, target.start());
    workers.put(name, new StandInWorker(name, "127.0.0.1", 0, VM_SIZES).start());
    String entryAddresses =
        proxied
            ? "\"127.0.0.1:" + proxies.get(0).port() + '"'
            : jsonList(EntryAddresses::processes);
    String peers = jsonList(EntryAddresses::operators);
    write(
        name,
        """
        {"role": "side", "name": "%s", "site": "vatulele", "zone": "%s", "rack": "%s-rack",
         "addresses": {"operators": "%s", "processes": "%s"}, "logService": "%s",
         "target": {"service": "parking", "address": "%s", "slots": %d, "connections": %d},
         "worker": {"address": "%s"}, "entries": [%s], "peers": [%s]}
        """
            .formatted(
                name,
                zone,
                zone,
                FreePorts.address(),
                FreePorts.address(),
                log.address(),
                target.address(),
                SLOTS,
                CONNECTIONS,
                workers.get(name).address(),
                entryAddresses,
                peers));
  }

  private String jsonList(Function<EntryAddresses, String> address) {
    return entries.values().stream()
        .map(addresses -> '"' + address.apply(addresses) + '"')
        .collect(Collectors.joining(", "));
  }

  private void write(String name, String settings) {
    try {
      Files.writeString(directory.resolve(name + ".json"), settings);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void start(String process) {
    fleet.start(
        process, MAIN, List.of("--settings", directory.resolve(process + ".json").toString()));
  }

  ProcessFleet fleet() {
    return fleet;
  }

  SiteOperators operators() {
    return new SiteOperators(entries.values().stream().map(EntryAddresses::operators).toList());
  }

  SiteOperators operatorsOf(String entry) {
    return new SiteOperators(List.of(entries.get(entry).operators()));
  }

  List<String> callersAddresses() {
    return entries.values().stream().map(EntryAddresses::callers).toList();
  }

  TcpFaultProxy proxy() {
    return proxies.get(0);
  }

  FakeLogService log() {
    return log.log();
  }

  void logFaults(LogFaults faults) {
    log.log().setFaults(faults);
  }

  StandInTarget target(String vm) {
    return targets.get(vm);
  }

  List<TargetRun> targetRuns() {
    List<TargetRun> runs = new ArrayList<>();
    targets.values().forEach(target -> runs.addAll(target.runs()));
    return runs;
  }

  List<WorkerRun> workerRuns() {
    List<WorkerRun> runs = new ArrayList<>();
    workers.values().forEach(worker -> runs.addAll(worker.worker().runs()));
    return runs;
  }

  long startsRejectedOverCapacity() {
    return workers.values().stream().mapToLong(one -> one.worker().rejectedOverCapacity()).sum();
  }

  @Override
  public void close() {
    fleet.close();
    proxies.forEach(TcpFaultProxy::close);
    targets.values().forEach(StandInTarget::close);
    workers.values().forEach(StandInWorker::close);
    log.close();
  }
}
