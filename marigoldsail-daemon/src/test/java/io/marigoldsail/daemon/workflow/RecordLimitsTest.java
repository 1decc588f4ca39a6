package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.marigoldsail.daemon.capacity.StoreLimits;
import io.marigoldsail.daemon.progress.ProgressKey;
import io.marigoldsail.daemon.progress.ProgressWriter;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.NewestPage;
import io.marigoldsail.daemon.workflow.WorkflowStore.NotAppended;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.daemon.workflow.WorkflowStore.Writer;
import io.marigoldsail.protocol.WorkflowProgress;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.TaskRecordState;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowRecordState;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowStatus;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Records and appends never exceed what the store takes, whatever a workflow is like. */
class RecordLimitsTest {
  private static final long ID = 7;
  private static final String KEY = TestIds.id(ID).toString();
  private static final Place PLACE = new Place("vm-0", "incarnation-1");

  private final VirtualLoop time = new VirtualLoop();
  private final FakeWorkflowStore store = new FakeWorkflowStore(1, time.timer());

  RecordLimitsTest() {
    store.enforceLimits();
  }

  private static final OwnedPartition.Listener LISTENER =
      new OwnedPartition.Listener() {
        @Override
        public void activated(OwnedPartition partition) {}

        @Override
        public void submitted(OwnedPartition partition, Workflow workflow) {}

        @Override
        public void lost(OwnedPartition partition) {}
      };

  private OwnedPartition open(long epoch) {
    OwnedPartition partition =
        new OwnedPartition(store, time.loop(), time.clocks(), 0, epoch, LISTENER);
    partition.open();
    time.advance(100);
    assertTrue(partition.isActive());
    return partition;
  }

  private Workflow submit(OwnedPartition partition, WorkflowSpec spec) {
    KeyedRecord submission = new KeyedRecord(spec.id().toString(), WorkflowCodec.encode(spec));
    store.append(Topic.SUBMISSIONS, 0, List.of(submission), Optional.empty());
    time.advance(100);
    return partition.workflow(spec.id()).orElseThrow();
  }

  private static List<WorkflowTask> ready(Workflow workflow) {
    List<WorkflowTask> ready = new ArrayList<>();
    workflow.forEachReady(0, ready::add);
    return ready;
  }

  private List<KeyedRecord> progress() {
    List<KeyedRecord> records = new ArrayList<>();
    Optional<String> after = Optional.empty();
    do {
      var page = store.readNewest(Topic.PROGRESS, 0, after);
      time.advance(10);
      records.addAll(((NewestPage) page.join()).records());
      after = ((NewestPage) page.join()).continueAfter();
    } while (after.isPresent());
    return records;
  }

  /**
   * Guards against a record that outgrows the limit of the store as the tasks of a wide workflow
   * save checkpoints: it was sent again without end, and the partition stood still.
   */
  @Test
  void widestWorkflowWithCheckpointsIsWrittenAndTakenOver() {
    OwnedPartition former = open(1);
    Workflow workflow = submit(former, WorkflowTestCluster.workflow(ID, WorkflowSpec.MAX_TASKS));
    List<WorkflowTask> ready = ready(workflow);
    while (!ready.isEmpty()) {
      ready.forEach(task -> workflow.startAttempt(task, PLACE));
      former.persist(workflow);
      for (WorkflowTask task : ready) {
        boolean done = task.key().index() % 2 == 0;
        RunOutcome outcome = done ? RunOutcome.DONE : RunOutcome.FORGOTTEN;
        workflow.recordEnd(task.openRun(), outcome, "checkpoint-" + task.key().index(), 1);
      }
      former.persist(workflow);
      time.advance(50);
      ready = ready(workflow).stream().filter(task -> task.lastAttempt() == 0).toList();
    }
    assertTrue(former.writer().isIdle());
    former.close();
    Workflow restored = open(2).workflow(TestIds.id(ID)).orElseThrow();
    assertEquals(workflow.record(), restored.record());
    assertEquals("checkpoint-19999", restored.tasks().get(19_999).checkpoint());
  }

  /** A record of an earlier version holds all tasks, and is replaced by parts. */
  @Test
  void recordOfAnEarlierVersionIsDividedWithoutLoss() {
    WorkflowSpec spec = WorkflowTestCluster.workflow(ID, 1_000);
    Workflow before = Workflow.of(spec);
    List<RunKey> runs = new ArrayList<>();
    before.tasks().subList(0, 200).forEach(task -> runs.add(before.startAttempt(task, PLACE)));
    runs.subList(0, 150).forEach(run -> before.recordEnd(run, RunOutcome.DONE, "saved", 1));
    store.append(
        Topic.PROGRESS,
        0,
        List.of(new KeyedRecord(KEY, WorkflowCodec.encode(before.record()))),
        Optional.of(new Writer(1, 0)));
    store.append(
        Topic.SUBMISSIONS,
        0,
        List.of(new KeyedRecord(KEY, WorkflowCodec.encode(spec))),
        Optional.empty());
    OwnedPartition second = open(2);
    Workflow restored = second.workflow(TestIds.id(ID)).orElseThrow();
    assertEquals(before.record(), restored.record());
    restored.recordEnd(runs.get(199), RunOutcome.DONE, "", 2);
    second.persist(restored);
    time.advance(50);
    assertEquals(4, progress().size());
    second.close();
    assertEquals(restored.record(), open(3).workflow(TestIds.id(ID)).orElseThrow().record());
  }

  /**
   * Guards against an owner of an earlier version that takes the first part for all, and starts
   * tasks anew that run: it cannot read the record, and leaves the workflow to others.
   */
  @Test
  void earlierVersionsCannotReadAPart() throws InvalidProtocolBufferException {
    for (int tasks : new int[] {Workflow.TASKS_PER_PART, Workflow.TASKS_PER_PART + 1}) {
      Workflow workflow = Workflow.of(WorkflowTestCluster.workflow(ID, tasks));
      workflow.startAttempt(workflow.tasks().get(0), PLACE);
      ByteString record = WorkflowCodec.encode(workflow.recordOfPart(0));
      ByteString asReadBefore =
          WorkflowProgress.parseFrom(record).toBuilder().clearPart().build().toByteString();
      assertEquals(
          tasks == Workflow.TASKS_PER_PART, WorkflowCodec.decodeProgress(asReadBefore).isPresent());
      assertEquals(
          WorkflowStatus.QUEUED, WorkflowCodec.decodeProgress(record).orElseThrow().status());
    }
  }

  /** Guards against parts that stay in the store after their workflow is forgotten. */
  @Test
  void allPartsOfAnEvictedWorkflowAreDropped() {
    OwnedPartition partition = open(1);
    Workflow workflow = submit(partition, WorkflowTestCluster.workflow(ID, 200));
    ready(workflow).forEach(task -> workflow.startAttempt(task, PLACE));
    workflow
        .openTasks()
        .forEach(task -> workflow.recordEnd(task.openRun(), RunOutcome.DONE, "", 1));
    partition.persist(workflow);
    time.advance(50);
    assertEquals(WorkflowStatus.DONE, workflow.durableStatus());
    assertEquals(4, progress().size());
    partition.evict(workflow);
    time.advance(50);
    assertEquals(List.of(), progress());
  }

  /** The former owner died after some parts of the last change were durable, and not the first. */
  @Test
  void workflowWhoseTasksAreAllDoneEndsWithItsNextOwner() {
    WorkflowSpec spec = WorkflowTestCluster.workflow(ID, 100);
    Workflow done = Workflow.of(spec);
    done.tasks().forEach(task -> done.startAttempt(task, PLACE));
    WorkflowRecordState running = done.record();
    done.openTasks().forEach(task -> done.recordEnd(task.openRun(), RunOutcome.DONE, "", 1));
    WorkflowRecordState head =
        new WorkflowRecordState(
            WorkflowStatus.RUNNING, done.recordOfPart(0).tasks(), 0, running.service());
    store.append(
        Topic.PROGRESS,
        0,
        List.of(
            new KeyedRecord(
                new ProgressKey(KEY, 1).toString(), WorkflowCodec.encode(done.recordOfPart(1))),
            new KeyedRecord(KEY, WorkflowCodec.encode(head))),
        Optional.of(new Writer(1, 0)));
    store.append(
        Topic.SUBMISSIONS,
        0,
        List.of(new KeyedRecord(KEY, WorkflowCodec.encode(spec))),
        Optional.empty());
    OwnedPartition partition = open(2);
    time.advance(50);
    assertEquals(
        WorkflowStatus.DONE, partition.workflow(TestIds.id(ID)).orElseThrow().durableStatus());
  }

  /** Any checkpoints, and limits from the least on: the record fits and loses nothing else. */
  @Property(tries = 200)
  void recordOfAnyTasksFits(
      @ForAll long seed,
      @ForAll @IntRange(min = StoreLimits.MIN_RECORD_BYTES, max = 300_000) int limit) {
    Random random = new Random(seed);
    ImmutableList.Builder<TaskRecordState> tasks = ImmutableList.builder();
    for (int i = 0; i < Workflow.TASKS_PER_PART; i++) {
      String checkpoint = "ü".repeat(random.nextInt(2) * random.nextInt(1_024));
      tasks.add(new TaskRecordState(false, 1 + i, 0, Optional.of(PLACE), checkpoint));
    }
    WorkflowRecordState state =
        new WorkflowRecordState(WorkflowStatus.RUNNING, tasks.build(), 0, "");
    ProgressWriter writer =
        new ProgressWriter((key, value, done) -> {}, StoreLimits.DEFAULT, WorkflowCodec::encode);
    ProgressKey key = new ProgressKey(KEY, 1);
    for (int max : new int[] {limit, WorkflowCodec.encode(state).size()}) {
      for (int bytes = max - 1; bytes <= max + 1; bytes++) {
        ByteString record = writer.encode(key, state, bytes);
        assertTrue(record.size() <= bytes || bytes < StoreLimits.MIN_RECORD_BYTES);
        WorkflowRecordState read = WorkflowCodec.decodeProgress(record).orElseThrow();
        assertEquals(state.withCheckpointsUpTo(0), read.withCheckpointsUpTo(0));
      }
    }
    int size = WorkflowCodec.encode(state).size();
    assertEquals(state, WorkflowCodec.decodeProgress(writer.encode(key, state, size)).get());
  }

  /** A store whose limit is lower than the settings tell: it takes all but one record. */
  @Test
  void rejectedRecordHoldsUpNoOther() {
    List<String> durable = new ArrayList<>();
    PartitionWriter writer =
        new PartitionWriter(store, time.loop(), time.clocks(), 0, 1, () -> durable.add("lost"));
    int max = StoreLimits.DEFAULT.maxValueBytes("b");
    writer.write("a", () -> ByteString.copyFromUtf8("a"), () -> durable.add("a"));
    writer.write("b", () -> ByteString.copyFrom(new byte[max + 1]), () -> durable.add("b"));
    writer.write("c", () -> ByteString.copyFromUtf8("c"), () -> durable.add("c"));
    writer.afterDurable(() -> durable.add("effect"));
    time.advance(100);
    assertEquals(List.of("a", "c", "effect"), durable);
    assertTrue(writer.isRejected("b"));
    assertTrue(writer.isIdle());
    writer.write("b", () -> ByteString.copyFrom(new byte[max]), () -> durable.add("b"));
    time.advance(100);
    assertEquals(List.of("a", "c", "effect", "b"), durable);
    assertFalse(writer.isRejected("b"));
  }

  /**
   * Guards against a workflow that is written again after it was dropped, as the retry of a
   * rejected record and its drop are under way at the same time.
   */
  @Test
  void retryOfARejectedRecordDoesNotFollowItsDrop() {
    for (int millis = 995; millis <= 1_010; millis++) {
      String key = "b" + millis;
      store.reject(key);
      PartitionWriter writer =
          new PartitionWriter(store, time.loop(), time.clocks(), 0, millis, () -> {});
      writer.write(key, () -> ByteString.copyFromUtf8("rejected"), () -> {});
      time.advance(millis);
      store.rejectNone();
      writer.write(key, () -> ByteString.EMPTY, () -> {});
      time.advance(5_000);
      assertTrue(writer.isIdle());
      assertEquals(List.of(), progress(), key);
      writer.close();
    }
  }

  /** Guards against a batch that the store refuses, so that none of its submissions is accepted. */
  @Test
  void submissionsThatDoNotFitIntoOneAppendAreWrittenByMore() {
    SubmissionWriter writer = new SubmissionWriter(store, time.loop());
    List<AppendResult> results = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String key = TestIds.id(i).toString();
      ByteString value = ByteString.copyFrom(new byte[StoreLimits.DEFAULT.maxValueBytes(key)]);
      writer.write(0, new KeyedRecord(key, value), results::add);
    }
    time.advance(100);
    assertEquals(40, results.size());
    results.forEach(result -> assertInstanceOf(Appended.class, result));
  }

  /**
   * One byte below the limits of the store that the tests above run against, at them, and above.
   */
  @Test
  void storeOfTheTestsKeepsItsLimits() {
    for (int extra = -1; extra <= 1; extra++) {
      int size = StoreLimits.DEFAULT.maxValueBytes("k") + extra;
      var result =
          store.append(
              Topic.SUBMISSIONS,
              0,
              List.of(new KeyedRecord("k", ByteString.copyFrom(new byte[size]))),
              Optional.empty());
      time.advance(10);
      assertEquals(extra <= 0, !(result.join() instanceof NotAppended));
    }
  }
}
