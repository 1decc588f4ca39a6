package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.google.protobuf.MessageLite;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.protocol.Evacuations;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.ImageSeen;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.OwnerMap;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.PartitionOwner;
import io.marigoldsail.protocol.QueueCount;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WaitingCounts;
import io.marigoldsail.protocol.WorkflowQuery;
import io.marigoldsail.protocol.WorkflowQueryAnswer;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.workflow.QueryResult;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Bytes and frames of a program that is no process of this system, on the links of workflows. */
@Timeout(60)
class OddFramesTest {
  private static final int MAX = Integer.MAX_VALUE;
  private static final int DEPTH = 100_000;
  private static final byte GROUP_START = 0x7b;
  private static final int RANDOM_FRAMES = 10;

  private final WorkflowTestCluster cluster = new WorkflowTestCluster();
  private final Random random = new Random(31);

  @AfterEach
  void stop() {
    cluster.close();
  }

  private static byte[] framed(byte[] body) {
    return ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
  }

  private static byte[] length(int length) {
    return ByteBuffer.allocate(4).putInt(length).array();
  }

  private static WorkflowTaskId task(int number) {
    return WorkflowTaskId.newBuilder().setStep(number).setAttempt(number).build();
  }

  private static ImmutableList<Frame> oddOrders() {
    LeaseGrant.Builder lease =
        LeaseGrant.newBuilder()
            .setWorkerClock(Long.MAX_VALUE)
            .addImages(ImageSeen.newBuilder().setImage("i").setWeight(Float.NaN));
    for (int partition : new int[] {-1, 0, 1, 2, 3, 4, 5, 6, MAX}) {
      lease.addEvidence(
          PartitionEvidence.newBuilder()
              .setPartition(partition)
              .setEpoch(Long.MAX_VALUE)
              .setAfterReportMillis(MAX));
    }
    RunOrders orders =
        RunOrders.newBuilder()
            .setNumber(Long.MAX_VALUE)
            .setWorker("incarnation-1-vm-0")
            .setLease(lease)
            .build();
    StartRun start = StartRun.newBuilder().setTask(task(1)).build();
    return ImmutableList.of(
        Frame.newBuilder().setRunOrders(orders).build(),
        Frame.newBuilder().setRunOrders(orders.toBuilder().addStarts(start)).build(),
        Frame.newBuilder()
            .setRunOrders(
                orders.toBuilder()
                    .addStarts(start.toBuilder().setMilliProcessors(-1).setDeliveryValue(99)))
            .build(),
        Frame.newBuilder().setRunOrders(orders.toBuilder().addStops(task(0))).build(),
        Frame.newBuilder().setRunOrders(orders.toBuilder().addStops(task(-1))).build(),
        Frame.newBuilder().setRunOrders(orders.toBuilder().addNotedEnds(task(MAX))).build(),
        Frame.newBuilder()
            .setRunOrders(
                orders.toBuilder().setEvacuations(Evacuations.newBuilder().setRevision(-1)))
            .build());
  }

  private static ImmutableList<Frame> oddFrames() {
    return ImmutableList.of(
        Frame.getDefaultInstance(),
        Frame.newBuilder()
            .setOwnerMap(
                OwnerMap.newBuilder()
                    .setGeneration(Long.MAX_VALUE)
                    .addMembers("127.0.0.1:70000/5")
                    .addAllOwnerPositions(Collections.nCopies(50_000, 1)))
            .build(),
        Frame.newBuilder()
            .setOwnerMap(
                OwnerMap.newBuilder()
                    .setGeneration(-1)
                    .addOwners(PartitionOwner.newBuilder().setPartition(-1).setMember("x"))
                    .addOwners(PartitionOwner.newBuilder().setPartition(MAX).setMember("")))
            .build(),
        Frame.newBuilder()
            .setWorkflowQueryAnswer(WorkflowQueryAnswer.newBuilder().setId(-1).setResult(-1))
            .build(),
        Frame.newBuilder()
            .setWorkflowQuery(WorkflowQuery.newBuilder().setId(-1).setWorkflow(-1).setCancel(true))
            .build(),
        Frame.newBuilder().setWaitingCounts(counts("x".repeat(100_000), MAX)).build(),
        Frame.newBuilder().setWaitingCounts(counts("127.0.0.1:9/9", -1)).build(),
        Frame.newBuilder()
            .setVmReport(
                VmReport.newBuilder()
                    .setVm("odd")
                    .setWorker("odd")
                    .setService("service")
                    .setFreeMilliProcessors(-1)
                    .addRuns(RunReport.getDefaultInstance()))
            .build(),
        Frame.newBuilder().setStamp(Long.MAX_VALUE).setAnswersRead(-1).build());
  }

  private static WaitingCounts counts(String member, int waiting) {
    return WaitingCounts.newBuilder()
        .setMember(member)
        .addQueues(QueueCount.newBuilder().setQueue("queue").setWaiting(waiting))
        .build();
  }

  private List<byte[]> oddBytes() {
    byte[] nested = new byte[DEPTH];
    Arrays.fill(nested, GROUP_START);
    List<byte[]> bytes = new ArrayList<>();
    bytes.add(length(0));
    bytes.add(length(-1));
    bytes.add(length(Integer.MIN_VALUE));
    bytes.add(length(MAX));
    bytes.add(length(10_000_000));
    bytes.add(new byte[] {0, 0});
    bytes.add(ByteBuffer.allocate(14).putInt(100).array());
    bytes.add(framed(nested));
    Stream.concat(oddOrders().stream(), oddFrames().stream())
        .map(MessageLite::toByteArray)
        .map(OddFramesTest::framed)
        .forEach(bytes::add);
    for (int i = 0; i < RANDOM_FRAMES; i++) {
      byte[] any = new byte[1 + random.nextInt(300)];
      random.nextBytes(any);
      bytes.add(any);
      bytes.add(framed(any));
    }
    return bytes;
  }

  private long ownedWorkflow(long from) {
    return LongStream.range(from, from + 400)
        .filter(id -> cluster.status(0, id) == QueryResult.UNKNOWN_WORKFLOW)
        .findFirst()
        .orElse(0);
  }

  private void assertServes(long from) {
    cluster.await("partitions are owned", () -> ownedWorkflow(from) > 0);
    long id = ownedWorkflow(from);
    assertInstanceOf(
        Appended.class,
        cluster.entry(0).entry().submit(WorkflowTestCluster.workflow(id, 2)).join());
    cluster.await("workflow " + id + " is done", () -> cluster.status(0, id) == QueryResult.DONE);
  }

  private static void writeIgnoringErrors(Socket socket, byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
    } catch (IOException e) {
      // The other end may have closed the connection already.
    }
  }

  /** Guards against an entry that one connection to its port ends or delays. */
  @Test
  void entryServesBesideConnectionsWithOddFrames() throws IOException {
    cluster.start(1, 1, 20);
    String prefix = cluster.entry(0).memberPrefix();
    int port = Integer.parseInt(prefix.substring(prefix.indexOf(':') + 1));
    List<Socket> open = new ArrayList<>();
    for (byte[] bytes : oddBytes()) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
      open.add(socket);
      writeIgnoringErrors(socket, bytes);
    }
    assertServes(1_000);
    cluster.restartSide("vm-0");
    assertServes(2_000);
    assertEquals(0, cluster.entry(0).entry().waitingWorkflows("queue").join());
    for (Socket socket : open) {
      socket.close();
    }
    assertServes(3_000);
  }

  /** Sends the next of the byte strings on each connection and ends it, until the socket closes. */
  private static void answer(ServerSocket server, Iterator<byte[]> bytes, AtomicInteger answered) {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        writeIgnoringErrors(socket, bytes.next());
        answered.incrementAndGet();
      } catch (IOException e) {
        // The test has closed the server, or the connection has ended.
      }
    }
  }

  /** Guards against processes that a member which they dial ends, or keeps from the others. */
  @Test
  void processesServeBesideAMemberWithOddFrames() throws Exception {
    List<byte[]> bytes = oddBytes();
    AtomicInteger answered = new AtomicInteger();
    try (ServerSocket odd = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread member =
          new Thread(() -> answer(odd, Iterables.cycle(bytes).iterator(), answered), "odd-member");
      member.start();
      String name = new EntryMember("127.0.0.1", odd.getLocalPort(), 5).toString();
      cluster.store().join(name, Long.MAX_VALUE);
      cluster.addEntry();
      cluster.addSide("vm-0", 20);
      assertServes(1_000);
      cluster.await("all were sent", () -> answered.get() >= bytes.size());
      assertServes(2_000);
      cluster.restartSide("vm-0");
      assertServes(3_000);
      cluster.store().drop(name);
      cluster.await(
          "all partitions are owned", () -> cluster.status(0, 1) != QueryResult.UNAVAILABLE);
      assertServes(4_000);
    }
  }
}
