package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.protocol.PlaceName;
import io.marigoldsail.protocol.TaskProgress;
import io.marigoldsail.protocol.WorkflowProgress;
import io.marigoldsail.protocol.WorkflowStep;
import io.marigoldsail.protocol.WorkflowSubmission;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.WorkflowId;
import java.io.IOException;
import java.util.Arrays;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Records of another program among those of the workflows of one partition. */
@Timeout(60)
class OddRecordsTest {
  private static final int MAX = Integer.MAX_VALUE;
  private static final int DEPTH = 100_000;

  /** The tags of the start of a group and of an empty message, in a field of each record. */
  private static final byte GROUP_START = 0x63;

  private static final byte[] EMPTY_STEP = {0x32, 0};
  private static final byte[] EMPTY_TASK = {0x22, 0};
  private static final int MANY = 400_000;

  private final WorkflowTestCluster cluster = new WorkflowTestCluster();
  private final Iterator<Long> ids =
      LongStream.range(300, 100_000)
          .filter(id -> TestIds.id(id).partition(WorkflowTestCluster.PARTITIONS) == 0)
          .iterator();

  @AfterEach
  void stop() {
    cluster.close();
  }

  private void append(Topic topic, String key, ByteString value) {
    assertInstanceOf(
        Appended.class,
        cluster
            .store()
            .append(topic, 0, List.of(new KeyedRecord(key, value)), Optional.empty())
            .join());
  }

  private static WorkflowSubmission sound(long id) {
    try {
      return WorkflowSubmission.parseFrom(
          WorkflowCodec.encode(WorkflowTestCluster.workflow(id, 2)));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private static ByteString repeated(byte[] bytes, int times) {
    byte[] all = new byte[bytes.length * times];
    for (int i = 0; i < times; i++) {
      System.arraycopy(bytes, 0, all, i * bytes.length, bytes.length);
    }
    return ByteString.copyFrom(all);
  }

  private static ByteString nested() {
    byte[] starts = new byte[DEPTH];
    Arrays.fill(starts, GROUP_START);
    return ByteString.copyFrom(starts);
  }

  private static UnaryOperator<WorkflowSubmission.Builder> step(
      UnaryOperator<WorkflowStep.Builder> change) {
    return submission -> submission.setSteps(0, change.apply(submission.getSteps(0).toBuilder()));
  }

  /** Submissions that any program can append, by what is odd about them. */
  private static Map<String, UnaryOperator<WorkflowSubmission.Builder>> oddSubmissions() {
    ImmutableMap.Builder<String, UnaryOperator<WorkflowSubmission.Builder>> odd =
        ImmutableMap.builder();
    return odd.put("occurrences", submission -> submission.setOccurrences(MAX))
        .put("tasks", step(each -> each.setTasks(MAX)))
        .put("negative tasks", step(each -> each.setTasks(-1)))
        .put(
            "three steps whose counts overflow",
            submission ->
                submission
                    .setOccurrences(MAX)
                    .clearSteps()
                    .addAllSteps(
                        Collections.nCopies(3, WorkflowStep.newBuilder().setTasks(MAX).build())))
        .put("no steps", WorkflowSubmission.Builder::clearSteps)
        .put("dependency on itself", step(each -> each.addDependsOn(0)))
        .put("dependency out of range", step(each -> each.addDependsOn(MAX)))
        .put("negative dependency", step(each -> each.addDependsOn(-1)))
        .put(
            "many dependencies",
            submission ->
                submission.addSteps(
                    WorkflowStep.newBuilder()
                        .setTasks(1)
                        .addAllDependsOn(Collections.nCopies(MANY, 0))))
        .put("negative size", step(each -> each.setMilliProcessors(-1)))
        .put("negative memory", step(each -> each.setMemoryMebibytes(-1)))
        .put("negative estimate", step(each -> each.setEstimateMillis(-1)))
        .put("negative maximum per VM", step(each -> each.setMaxPerVm(-1)))
        .put("other id", submission -> submission.setId(submission.getId() + 1))
        .put("no id", WorkflowSubmission.Builder::clearId)
        .put("slack is no number", submission -> submission.setSlackFactor(Double.NaN))
        .put("no failure allowed", submission -> submission.setMaxFailures(0))
        .put("program of megabytes", submission -> submission.setProgram("x".repeat(3 << 20)))
        .put("program above a frame", submission -> submission.setProgram("x".repeat(200_000)))
        .put("image above a frame", step(each -> each.setImage("x".repeat(200_000))))
        .buildOrThrow();
  }

  /** Submissions that are odd and can be read all the same: nothing may end because of them. */
  private static Map<String, UnaryOperator<WorkflowSubmission.Builder>> oversizedSubmissions() {
    ImmutableMap.Builder<String, UnaryOperator<WorkflowSubmission.Builder>> odd =
        ImmutableMap.builder();
    return odd.put("memory", step(each -> each.setMemoryMebibytes(MAX)))
        .put("processors", step(each -> each.setMilliProcessors(MAX).setAccelerators(MAX)))
        .put("accepted at the end of time", each -> each.setAcceptedMillis(Long.MAX_VALUE))
        .put("accepted before time", each -> each.setAcceptedMillis(Long.MIN_VALUE))
        .put(
            "due times that overflow",
            each ->
                each.setOccurrences(50)
                    .setFirstDueMillis(Long.MAX_VALUE)
                    .setIntervalMillis(Long.MAX_VALUE))
        .put("infinite slack", each -> each.setSlackFactor(Double.POSITIVE_INFINITY))
        .put("priority", each -> each.setPriority(-1).setMaxFailures(MAX))
        .put("objective", each -> each.setObjectiveMillis(Long.MAX_VALUE))
        .put("estimate", step(each -> each.setEstimateMillis(MAX).setMaxPerVm(MAX)))
        .buildOrThrow();
  }

  private static TaskProgress.Builder open(int attempt) {
    return TaskProgress.newBuilder().setLastAttempt(attempt).setPlace(1);
  }

  private static WorkflowProgress.Builder running(TaskProgress.Builder... tasks) {
    WorkflowProgress.Builder progress =
        WorkflowProgress.newBuilder()
            .setStatus(1)
            .addPlaces(PlaceName.newBuilder().setVm("vm-0").setWorker("incarnation-1-vm-0"));
    Arrays.stream(tasks).forEach(progress::addTasks);
    return progress;
  }

  private static Map<String, ByteString> oddProgress() {
    ImmutableMap.Builder<String, WorkflowProgress.Builder> odd = ImmutableMap.builder();
    odd.put("open without an attempt", running(open(0), open(0)))
        .put("negative attempt", running(open(-1)))
        .put("last attempt of all", running(TaskProgress.newBuilder().setLastAttempt(MAX)))
        .put(
            "last failure of all",
            running(TaskProgress.newBuilder().setLastAttempt(1).setFailures(MAX)))
        .put("negative failures", running(TaskProgress.newBuilder().setFailures(-1)))
        .put("done and open", running(open(1).setPhase(1)))
        .put("unknown place", running(open(1).setPlace(MAX), open(1).setPlace(-1)))
        .put("empty place", running(open(1)).setPlaces(0, PlaceName.getDefaultInstance()))
        .put("unknown status", running().setStatus(99))
        .put("negative status", running().setStatus(-1))
        .put(
            "more tasks than the workflow",
            running(Collections.nCopies(50, open(1)).toArray(new TaskProgress.Builder[0])));
    ImmutableMap.Builder<String, ByteString> encoded = ImmutableMap.builder();
    odd.buildOrThrow()
        .forEach((name, progress) -> encoded.put(name, progress.build().toByteString()));
    return encoded
        .put("many tasks", repeated(EMPTY_TASK, MANY))
        .put("deeply nested", nested())
        .buildOrThrow();
  }

  private void appendOddRecords() {
    oddSubmissions().forEach((name, change) -> appendSubmission(change));
    oversizedSubmissions().forEach((name, change) -> appendSubmission(change));
    append(Topic.SUBMISSIONS, TestIds.id(ids.next()).toString(), repeated(EMPTY_STEP, MANY));
    append(Topic.SUBMISSIONS, TestIds.id(ids.next()).toString(), nested());
    append(Topic.SUBMISSIONS, "", sound(ids.next()).toByteString());
    append(Topic.SUBMISSIONS, "no id", sound(ids.next()).toByteString());
    append(Topic.SUBMISSIONS, "x".repeat(255), ByteString.copyFromUtf8("odd"));
    append(Topic.SUBMISSIONS, TestIds.id(ids.next()).toString(), ByteString.EMPTY);
    append(Topic.PROGRESS, "no id", WorkflowProgress.getDefaultInstance().toByteString());
    oddProgress()
        .forEach(
            (name, progress) -> {
              String key = TestIds.id(ids.next()).toString();
              append(Topic.PROGRESS, key, progress);
              append(
                  Topic.SUBMISSIONS, key, sound(TestIds.number(WorkflowId.of(key))).toByteString());
            });
  }

  private void appendSubmission(UnaryOperator<WorkflowSubmission.Builder> change) {
    long id = ids.next();
    ByteString odd = change.apply(sound(id).toBuilder()).build().toByteString();
    append(Topic.SUBMISSIONS, TestIds.id(id).toString(), odd);
  }

  private void assertIsDone(long id) {
    cluster.await("workflow " + id + " is done", () -> cluster.status(0, id) == QueryResult.DONE);
  }

  private long submit() {
    long id = ids.next();
    append(Topic.SUBMISSIONS, TestIds.id(id).toString(), sound(id).toByteString());
    return id;
  }

  /** Guards against sound workflows that no owner reads or runs again beside an odd record. */
  @Test
  void soundWorkflowsOfThePartitionAreDone() throws IOException {
    long before = submit();
    appendOddRecords();
    long after = submit();
    cluster.start(1, 2, 20);
    assertIsDone(before);
    assertIsDone(after);
    appendOddRecords();
    assertIsDone(submit());
    WorkflowTestCluster.RunningEntry old = cluster.entry(0);
    cluster.kill(old);
    cluster.addEntry();
    cluster.store().drop(old.memberPrefix());
    cluster.awaitReady();
    assertIsDone(submit());
    assertEquals(QueryResult.DONE, cluster.status(0, before));
  }

  static Set<String> namesOfOddProgress() {
    return oddProgress().keySet();
  }

  /** Guards against runs that a new owner does not track, and progress that it cannot write. */
  @ParameterizedTest
  @MethodSource("namesOfOddProgress")
  void openRunsAreFollowedByTheNextOwner(String name) throws IOException {
    cluster.start(1, 2, 500);
    List<Long> running = LongStream.range(0, 4).map(i -> submit()).boxed().toList();
    long odd = ids.next();
    append(Topic.PROGRESS, TestIds.id(odd).toString(), oddProgress().get(name));
    append(Topic.SUBMISSIONS, TestIds.id(odd).toString(), sound(odd).toByteString());
    cluster.await("all tasks run", () -> cluster.history().totalStarts() >= 2 * running.size());
    WorkflowTestCluster.RunningEntry old = cluster.entry(0);
    cluster.kill(old);
    cluster.addEntry();
    cluster.store().drop(old.memberPrefix());
    cluster.awaitReady();
    running.forEach(this::assertIsDone);
    cluster.entry(0).entry().query(TestIds.id(odd), "queue", true).join();
    assertIsDone(submit());
  }

  @Test
  void oddRecordsAreReadAsNone() {
    oddSubmissions()
        .forEach(
            (name, change) ->
                assertEquals(
                    Optional.empty(),
                    WorkflowCodec.decodeSubmission(
                            change.apply(sound(300).toBuilder()).build().toByteString())
                        .filter(
                            stored ->
                                stored.spec().id().equals(TestIds.id(300))
                                    && !name.equals("many dependencies")),
                    name));
    assertEquals(Optional.empty(), WorkflowCodec.decodeSubmission(repeated(EMPTY_STEP, MANY)));
    assertEquals(Optional.empty(), WorkflowCodec.decodeProgress(repeated(EMPTY_TASK, MANY)));
    assertEquals(Optional.empty(), WorkflowCodec.decodeSubmission(nested()));
    assertEquals(Optional.empty(), WorkflowCodec.decodeProgress(nested()));
    oversizedSubmissions()
        .forEach((name, change) -> assertNotNull(change.apply(sound(300).toBuilder()), name));
  }

  /** Guards against a gang whose state no attempt can follow: nothing else may wait for it. */
  @Test
  void workflowsBesideAGangThatIsDoneInPartAreDone() throws IOException {
    long gang = ids.next();
    StepSpec.TaskTraits traits =
        new StepSpec.TaskTraits(true, false, false, false, false, "", 0, 0);
    append(
        Topic.SUBMISSIONS,
        TestIds.id(gang).toString(),
        WorkflowCodec.encode(WorkflowTestCluster.workflow(gang, traits, 3)));
    TaskProgress.Builder ended = TaskProgress.newBuilder().setLastAttempt(1);
    append(
        Topic.PROGRESS,
        TestIds.id(gang).toString(),
        running(ended, ended.clone().setPhase(1), ended).build().toByteString());
    long before = submit();
    cluster.start(1, 1, 20);
    assertIsDone(before);
    assertIsDone(submit());
  }
}
