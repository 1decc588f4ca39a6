package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowIds;
import io.marigoldsail.workflow.WorkflowSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What goes on in a partition after one step of it threw. */
class PartitionExceptionTest {
  private final VirtualLoop time = new VirtualLoop();
  private final VirtualStore store = new VirtualStore(time);

  /**
   * Two tasks became durable with one append, and what followed from the first threw. The second
   * was never told that it is durable: it was never ordered, and its room never came back.
   */
  @Test
  void throwingEffectDoesNotSkipLaterEffects() {
    List<String> ran = new ArrayList<>();
    PartitionWriter writer = new PartitionWriter(store, time.loop(), 0, 1, () -> ran.add("lost"));
    writer.write(
        "a",
        () -> ByteString.copyFromUtf8("a"),
        () -> {
          ran.add("a");
          throw new IllegalStateException("told to throw");
        });
    writer.write("b", () -> ByteString.copyFromUtf8("b"), () -> ran.add("b"));
    writer.afterDurable(() -> ran.add("effect"));
    time.advance(10);
    assertEquals(List.of("a", "b", "effect"), ran);
    writer.write("c", () -> ByteString.copyFromUtf8("c"), () -> ran.add("c"));
    time.advance(10);
    assertEquals(List.of("a", "b", "effect", "c"), ran);
    assertTrue(writer.isIdle());
  }

  /**
   * A workflow that a caller handed in could not be taken, by a fault of ours. The partition read
   * nothing any more, and whatever was handed in later waited for good.
   */
  @Test
  void throwingSubmissionDoesNotStopTailing() {
    ThrowingListener owner = new ThrowingListener(2);
    OwnedPartition partition = new OwnedPartition(store, time.loop(), 0, 1, owner);
    partition.open();
    time.advance(20);
    assertTrue(partition.isActive());
    store.submit(submission(1));
    store.submit(submission(2));
    store.submit(submission(3));
    time.advance(20);
    store.submit(submission(4));
    time.advance(20);
    assertEquals(List.of(1L, 3L, 4L), owner.submittedIds);
    assertTrue(partition.isCaughtUp());
  }

  /**
   * The store had dropped what was to be read next, so all that lasts was read anew, and one
   * workflow of it could not be taken. The partition read nothing any more.
   */
  @Test
  void throwingSubmissionDoesNotStopRereading() {
    ThrowingListener owner = new ThrowingListener(2);
    OwnedPartition partition = new OwnedPartition(store, time.loop(), 0, 1, owner);
    partition.open();
    time.advance(20);
    store.submit(submission(2));
    store.submit(submission(3));
    store.expireOnce();
    time.advance(20);
    store.submit(submission(4));
    time.advance(20);
    assertEquals(List.of(3L, 4L), owner.submittedIds);
  }

  /**
   * Something threw when a partition became active. It counted as active and read nothing that
   * callers handed in from then on.
   */
  @Test
  void throwingActivationDoesNotStopTailing() {
    ThrowingListener owner = new ThrowingListener(0);
    owner.throwsOnActivation = true;
    OwnedPartition partition = new OwnedPartition(store, time.loop(), 0, 1, owner);
    partition.open();
    time.advance(20);
    store.submit(submission(1));
    time.advance(20);
    assertEquals(List.of(1L), owner.submittedIds);
  }

  private static KeyedRecord submission(long id) {
    WorkflowSpec spec =
        new WorkflowSpec(
            id,
            "queue",
            new WorkflowSpec.QueuePolicy("service", 0, 3, Optional.empty(), 2, 100),
            "program",
            ImmutableList.of(
                new StepSpec(
                    1,
                    new Sizes(500, 1 << 20, 0),
                    100,
                    ImmutableList.of(),
                    StepSpec.Placement.ANYWHERE,
                    StepSpec.TaskTraits.PLAIN)),
            WorkflowSpec.Schedule.IMMEDIATE,
            1);
    return new KeyedRecord(WorkflowIds.format(id), WorkflowCodec.encode(spec));
  }

  /** Takes workflows, but for one that it throws at. */
  private static final class ThrowingListener implements OwnedPartition.Listener {
    private final List<Long> submittedIds = new ArrayList<>();
    private final long throwsAt;
    private boolean throwsOnActivation;

    ThrowingListener(long throwsAt) {
      this.throwsAt = throwsAt;
    }

    @Override
    public void activated(OwnedPartition partition) {
      if (throwsOnActivation) {
        throw new IllegalStateException("told to throw");
      }
    }

    @Override
    public void submitted(OwnedPartition partition, Workflow workflow) {
      if (workflow.spec().id() == throwsAt) {
        throw new IllegalStateException("told to throw");
      }
      submittedIds.add(workflow.spec().id());
    }

    @Override
    public void lost(OwnedPartition partition) {}
  }
}
