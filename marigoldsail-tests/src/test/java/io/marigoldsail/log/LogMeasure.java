package io.marigoldsail.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.daemon.platform.HttpLogService;
import io.marigoldsail.daemon.platform.PlatformClient;
import io.marigoldsail.error.Result;
import io.marigoldsail.testlib.fault.TcpFaultProxy;
import io.marigoldsail.testlib.fault.TcpFaultProxy.Direction;
import io.marigoldsail.testlib.platform.FakeLogService;
import io.marigoldsail.testlib.platform.LogFaults;
import io.marigoldsail.testlib.platform.StandInLogService;
import io.marigoldsail.time.MonotonicClock;
import java.lang.management.ManagementFactory;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Measures the log package and prints CSV: {@code reading}, {@code append} or {@code slopes}.
 *
 * <p>Run by {@code bin/measure-log}; not a test.
 */
public final class LogMeasure {
  private static final String STREAM = "tasks";
  private static final int BODY_BYTES = 300;

  private LogMeasure() {}

  /** Runs the measurements named by the arguments. */
  public static void main(String[] arguments) throws Exception {
    for (String measurement : arguments) {
      switch (measurement) {
        case "reading" -> RelayReadBenchmark.run();
        case "append" -> append();
        case "slopes" -> slopes();
        default -> {
          System.err.println("unknown measurement: " + measurement + "; reading, append or slopes");
          System.exit(2);
        }
      }
    }
    System.exit(0);
  }

  /** The follower and appender of one process. */
  private record Member(StreamFollower follower, LogAppender appender) {
    static Member start(String name, LogService log) {
      SplittableRandom random = new SplittableRandom(name.hashCode());
      MonotonicClock clock = MonotonicClock.system();
      StreamFollower follower =
          new StreamFollower(
              log, STREAM, new CountingFold(), FollowerSettings.defaults(), clock, random);
      LogAppender appender =
          new LogAppender(
              log,
              follower,
              EntryIdGenerator.of(name, 1),
              AppendSettings.defaults(),
              clock,
              random);
      follower.start();
      appender.start();
      return new Member(follower, appender);
    }

    void close() {
      appender.close();
      follower.close();
    }
  }

  private static ObjectNode body() {
    return JsonNodeFactory.instance.objectNode().put("filler", "x".repeat(BODY_BYTES));
  }

  /**
   * Measures appends by three entry processes at rising rates, with a log limited to 300 appends
   * per second.
   */
  private static void append() throws Exception {
    System.out.println(
        "entries,offered_per_s,ok_per_s,failed,appends_per_s,p50_ms,p99_ms,worst_ms");
    for (int rate : new int[] {30, 90, 300, 1_000, 3_000}) {
      try (StandInLogService service = new StandInLogService("127.0.0.1", 0).start();
          PlatformClient client = PlatformClient.start("append")) {
        service.log().setFaults(limited(300));
        appendAt(rate, service, client);
      }
    }
  }

  private static LogFaults limited(int appendsPerSecond) {
    return new LogFaults(false, 0, 0, 0, 0, 0, appendsPerSecond);
  }

  private static void appendAt(int rate, StandInLogService service, PlatformClient client)
      throws Exception {
    int seconds = 5;
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      members.add(Member.start("entry-" + i, new HttpLogService(client, service.address(), 2_000)));
    }
    List<CompletableFuture<Double>> latencies = new ArrayList<>();
    long startNanos = System.nanoTime();
    for (int i = 0; i < rate * seconds; i++) {
      long dueNanos = startNanos + TimeUnit.SECONDS.toNanos(1) * i / rate;
      while (System.nanoTime() < dueNanos) {
        LockSupport.parkNanos(dueNanos - System.nanoTime());
      }
      latencies.add(
          members.get(i % 3).appender().append("t", body()).thenApply(r -> latency(r, dueNanos)));
    }
    List<Double> millis = new ArrayList<>();
    for (CompletableFuture<Double> value : latencies) {
      millis.add(value.get());
    }
    double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
    long failed = millis.stream().filter(value -> value.isNaN()).count();
    millis.removeIf(value -> value.isNaN());
    millis.sort(null);
    System.out.printf(
        "3,%d,%.0f,%d,%.0f,%.1f,%.1f,%.1f%n",
        rate,
        millis.size() / elapsedSeconds,
        failed,
        service.log().counts().appends() / elapsedSeconds,
        millis.get(millis.size() / 2),
        millis.get(millis.size() * 99 / 100),
        millis.get(millis.size() - 1));
    members.forEach(Member::close);
  }

  private static double latency(Result<Position> result, long dueNanos) {
    return result.isOk() ? (System.nanoTime() - dueNanos) / 1e6 : Double.NaN;
  }

  /** Measures each cost at four sizes. */
  private static void slopes() throws Exception {
    System.out.println("slope,size,unit,value,per");
    warmUp();
    for (int records : new int[] {20_000, 40_000, 80_000, 160_000}) {
      System.out.printf("read_cpu,%d,records,%.1f,ms%n", records, readCpuMillis(records, 1));
    }
    for (int entries : new int[] {1, 10, 50, 100}) {
      double cpu = readCpuMillis(40_000 / entries, entries);
      System.out.printf("read_cpu_batched,%d,entries/record,%.2f,us/entry%n", entries, cpu / 40);
    }
    double unusedWarmUp = marksBytes(128) + outageBytes(1_250) + readerBytes(20_000);
    for (int records : new int[] {20_000, 40_000, 80_000, 160_000}) {
      System.out.printf("reader_memory,%d,records,%.0f,bytes%n", records, readerBytes(records));
    }
    for (int writers : new int[] {128, 256, 512, 1_024}) {
      System.out.printf("marks_memory,%d,writers,%.0f,bytes%n", writers, marksBytes(writers));
    }
    for (int open : new int[] {1_250, 2_500, 5_000, 10_000}) {
      System.out.printf("outage_memory,%d,entries held,%.0f,bytes%n", open, outageBytes(open));
    }
    for (int entries : new int[] {1, 3, 6, 9}) {
      wireBytes(entries);
    }
  }

  private static void warmUp() {
    for (int i = 0; i < 20; i++) {
      readCpuMillis(20_000, 1);
    }
  }

  private static double readCpuMillis(int records, int entriesPerRecord) {
    FakeLogService log = filled(records, entriesPerRecord);
    var threads = ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadCpuTime();
    StreamCursor cursor = readAll(log);
    double millis = (threads.getCurrentThreadCpuTime() - before) / 1e6;
    return cursor.nextOffset() == records ? millis : Double.NaN;
  }

  /** Returns the heap used by a reader after it has read the records, without the log itself. */
  private static double readerBytes(int records) {
    long before = usedHeapBytes();
    StreamCursor cursor = readAll(filled(records, 1));
    double bytes = usedHeapBytes() - before;
    return cursor.nextOffset() == records ? bytes : Double.NaN;
  }

  private static FakeLogService filled(int records, int entriesPerRecord) {
    FakeLogService log = new FakeLogService();
    EntryIdGenerator ids = EntryIdGenerator.of("entry-1", 1);
    for (int i = 0; i < records; i++) {
      List<byte[]> entries = new ArrayList<>();
      for (int e = 0; e < entriesPerRecord; e++) {
        entries.add(RecordCodec.encodeEntry(ids.next(), "t", body()));
      }
      log.append(STREAM, RecordCodec.encodeRecord(entries));
    }
    return log;
  }

  private static StreamCursor readAll(FakeLogService log) {
    StreamCursor cursor =
        new StreamCursor(
            new CountingFold(), false, new StreamListener() {}, (offset, reason, n) -> {});
    while (cursor.nextOffset() < log.nextOffset(STREAM)) {
      cursor.accept(log.read(STREAM, cursor.nextOffset(), 200, 0).value());
    }
    return cursor;
  }

  private static double marksBytes(int writers) {
    long before = usedHeapBytes();
    WriterSequences marks = new WriterSequences();
    for (int i = 0; i < writers; i++) {
      marks.accept(EntryIdGenerator.parse("entry-vm-" + i + "/5f3a9c0d12345678/17").orElseThrow());
    }
    double bytes = usedHeapBytes() - before;
    return marks.size() == 0 ? 0 : bytes;
  }

  private static double outageBytes(int open) {
    FakeLogService log = new FakeLogService();
    log.setFaults(LogFaults.none().withDown(true));
    Member member = Member.start("entry-1", log);
    long before = usedHeapBytes();
    List<CompletableFuture<Result<Position>>> pending = new ArrayList<>(open);
    for (int i = 0; i < open; i++) {
      pending.add(
          member.appender().append("t", body(), System.nanoTime() + TimeUnit.HOURS.toNanos(1)));
    }
    double bytes = usedHeapBytes() - before;
    member.close();
    return pending.isEmpty() ? 0 : bytes;
  }

  /** Returns the minimum of several measurements, each after a garbage collection. */
  private static long usedHeapBytes() {
    long min = Long.MAX_VALUE;
    for (int i = 0; i < 4; i++) {
      System.gc();
      Runtime runtime = Runtime.getRuntime();
      min = Math.min(min, runtime.totalMemory() - runtime.freeMemory());
    }
    return min;
  }

  /**
   * Measures the bytes on the wire of a process that reads the heartbeats of the given number of
   * entry processes.
   */
  private static void wireBytes(int entries) throws Exception {
    try (StandInLogService service = new StandInLogService("127.0.0.1", 0).start();
        TcpFaultProxy reading = new TcpFaultProxy(URI.create(service.address()).getPort());
        TcpFaultProxy writing = new TcpFaultProxy(URI.create(service.address()).getPort());
        PlatformClient client = PlatformClient.start("wire")) {
      String read = "http://127.0.0.1:" + reading.port();
      String write = "http://127.0.0.1:" + writing.port();
      Member reader = Member.start("reader", new HttpLogService(client, read, 2_000));
      HttpLogService writer = new HttpLogService(client, write, 2_000);
      List<EntryIdGenerator> ids = new ArrayList<>();
      for (int i = 0; i < entries; i++) {
        ids.add(EntryIdGenerator.of("entry-" + i, 0x5f3a9c0d12345678L));
      }
      int beats = 20;
      long startNanos = System.nanoTime();
      for (int beat = 0; beat < beats; beat++) {
        for (EntryIdGenerator id : ids) {
          byte[] entry = RecordCodec.encodeEntry(id.next(), "heartbeat", heartbeat());
          writer.append(STREAM, RecordCodec.encodeRecord(List.of(entry))).value();
          // Spaced, as the heartbeats of different entries are, so that each one is read as a page.
          LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1) / 9);
        }
      }
      reader.follower().awaitApplied(beats * entries, System.nanoTime() + 10_000_000_000L);
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      double count = beats * entries;
      System.out.printf(
          "heartbeat_read,%d,entries,%.0f,bytes/heartbeat%n", entries, bytes(reading) / count);
      System.out.printf(
          "heartbeat_append,%d,entries,%.0f,bytes/heartbeat%n", entries, bytes(writing) / count);
      System.out.printf("heartbeats_at,%d,entries,%.1f,heartbeats/s%n", entries, count / seconds);
      reader.close();
    }
  }

  private static ObjectNode heartbeat() {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("entry", "entry-1").put("incarnation", 0x5f3a9c0d12345678L);
    body.putArray("gained");
    body.putArray("lost");
    return body;
  }

  private static long bytes(TcpFaultProxy proxy) {
    return proxy.forwardedBytes(Direction.TO_CLIENT) + proxy.forwardedBytes(Direction.TO_SERVER);
  }
}
