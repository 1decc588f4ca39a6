package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** An exception in one step of a partition must not stop the later steps. */
class PartitionExceptionTest {
  private final VirtualLoop time = new VirtualLoop();
  private final VirtualStore store = new VirtualStore(time);

  /**
   * Two runs became durable with one append, and the effect of the first threw. The effect of the
   * second never ran: the run was never ordered, and its capacity was never released.
   */
  @Test
  void throwingEffectDoesNotSkipLaterEffects() {
    List<String> ran = new ArrayList<>();
    PartitionWriter writer =
        new PartitionWriter(store, time.loop(), time.clocks(), 0, 1, () -> ran.add("lost"));
    writer.write(
        "a",
        () -> ByteString.copyFromUtf8("a"),
        () -> {
          ran.add("a");
          throw new IllegalStateException("thrown by the test");
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
   * An exception while a submission was added stopped the reading of the partition, and all later
   * submissions waited forever.
   */
  @Test
  void throwingSubmissionDoesNotStopTailing() {
    ThrowingListener listener = new ThrowingListener(2);
    OwnedPartition partition =
        new OwnedPartition(store, time.loop(), time.clocks(), 0, 1, listener);
    partition.open();
    time.advance(20);
    assertTrue(partition.isActive());
    store.submit(submission(1));
    store.submit(submission(2));
    store.submit(submission(3));
    time.advance(20);
    store.submit(submission(4));
    time.advance(20);
    assertEquals(List.of(1L, 3L, 4L), listener.submittedIds);
    assertTrue(partition.isCaughtUp());
  }

  /**
   * The offset to be read next had expired in the store, so all submissions were read again, and
   * one of them threw. The partition read nothing after that.
   */
  @Test
  void throwingSubmissionDoesNotStopRereading() {
    ThrowingListener listener = new ThrowingListener(2);
    OwnedPartition partition =
        new OwnedPartition(store, time.loop(), time.clocks(), 0, 1, listener);
    partition.open();
    time.advance(20);
    store.submit(submission(2));
    store.submit(submission(3));
    store.expireOnce();
    time.advance(20);
    store.submit(submission(4));
    time.advance(20);
    assertEquals(List.of(3L, 4L), listener.submittedIds);
  }

  /**
   * An exception while a partition became active left it active but without reading submissions
   * from then on.
   */
  @Test
  void throwingActivationDoesNotStopTailing() {
    ThrowingListener listener = new ThrowingListener(0);
    listener.throwsOnActivation = true;
    OwnedPartition partition =
        new OwnedPartition(store, time.loop(), time.clocks(), 0, 1, listener);
    partition.open();
    time.advance(20);
    store.submit(submission(1));
    time.advance(20);
    assertEquals(List.of(1L), listener.submittedIds);
  }

  private static KeyedRecord submission(long id) {
    WorkflowSpec spec =
        new WorkflowSpec(
            TestIds.id(id),
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
    return new KeyedRecord(TestIds.id(id).toString(), WorkflowCodec.encode(spec));
  }

  /** Records submitted workflows; throws for one of them. */
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
        throw new IllegalStateException("thrown by the test");
      }
    }

    @Override
    public void submitted(OwnedPartition partition, Workflow workflow) {
      if (TestIds.number(workflow.spec().id()) == throwsAt) {
        throw new IllegalStateException("thrown by the test");
      }
      submittedIds.add(TestIds.number(workflow.spec().id()));
    }

    @Override
    public void lost(OwnedPartition partition) {}
  }
}
