package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkState;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * The tasks of a workflow by their position, at a cost that grows with what has happened to them.
 *
 * <p>A task without an attempt takes no memory, and one that is done takes that of the number of
 * its last attempt, or none with all others of its block that were done at once. Only the rest are
 * objects that are kept. Blocks of {@link #BLOCK_TASKS} are also the units of the durable record; a
 * block is marked as changed until its record is taken. Confined to one thread.
 */
final class TaskBlocks {
  /** The number of tasks in each block but the last. */
  static final int BLOCK_TASKS = 64;

  /** Estimated memory of a kept object with its key, checkpoint and collections, in bytes. */
  private static final int TASK_BYTES = 240;

  /** Estimated memory of a block without its objects, in bytes. */
  private static final int BLOCK_BYTES = 560;

  /** Bytes of a reference to a block. */
  private static final int REFERENCE_BYTES = 4;

  /** What is known of one block: an object, the last attempt of a task that is done, or nothing. */
  private static final class Block {
    private final WorkflowTask[] kept;
    private final int[] doneAttempts;
    private int done;
    private boolean retried;

    Block(int size) {
      kept = new WorkflowTask[size];
      doneAttempts = new int[size];
    }

    boolean isDoneAtOnce() {
      return done == doneAttempts.length && !retried;
    }
  }

  /** Stands for each block whose tasks are all done by their first attempts. */
  private static final Block DONE_AT_ONCE = doneAtOnce();

  private static Block doneAtOnce() {
    Block block = new Block(BLOCK_TASKS);
    Arrays.fill(block.doneAttempts, 1);
    return block;
  }

  private final int size;
  private final Block[] blocks;
  private final BitSet changedBlocks = new BitSet();
  private int allocatedBlocks;
  private int keptTasks;

  TaskBlocks(int size) {
    this.size = size;
    this.blocks = new Block[(size + BLOCK_TASKS - 1) / BLOCK_TASKS];
  }

  int size() {
    return size;
  }

  static int blockOf(int position) {
    return position / BLOCK_TASKS;
  }

  /** Returns the position after the last one of the block. */
  int endOf(int block) {
    return Math.min(size, (block + 1) * BLOCK_TASKS);
  }

  /** Returns the kept object, or {@code null} if the task has no attempt or is done. */
  WorkflowTask kept(int position) {
    Block block = blocks[blockOf(position)];
    return block == null ? null : block.kept[position % BLOCK_TASKS];
  }

  /** Returns the last attempt of a task that is done and not kept, or 0 for any other. */
  int doneAttempt(int position) {
    Block block = blocks[blockOf(position)];
    return block == null ? 0 : block.doneAttempts[position % BLOCK_TASKS];
  }

  /** Returns whether the task has no attempt. */
  boolean isNew(int position) {
    return kept(position) == null && doneAttempt(position) == 0;
  }

  /**
   * Keeps the object, which is about to change.
   *
   * @throws IllegalStateException if another one is kept for the task
   */
  void keep(int position, WorkflowTask task) {
    WorkflowTask known = kept(position);
    checkState(known == null || known == task, "task %s is kept already", task.key());
    checkState(doneAttempt(position) == 0, "task %s is done", task.key());
    changedBlocks.set(blockOf(position));
    if (known == null) {
      allocated(position).kept[position % BLOCK_TASKS] = task;
      keptTasks++;
    }
  }

  /** Replaces the object by the number of the last attempt, since the task is done. */
  void replaceByDone(int position, int lastAttempt) {
    changedBlocks.set(blockOf(position));
    Block block = allocated(position);
    block.doneAttempts[position % BLOCK_TASKS] = lastAttempt;
    block.done++;
    block.retried |= lastAttempt > 1;
    if (block.kept[position % BLOCK_TASKS] != null) {
      block.kept[position % BLOCK_TASKS] = null;
      keptTasks--;
    }
    if (block.isDoneAtOnce()) {
      blocks[blockOf(position)] = DONE_AT_ONCE;
      allocatedBlocks--;
    }
  }

  private Block allocated(int position) {
    int index = blockOf(position);
    if (blocks[index] == null) {
      blocks[index] = new Block(endOf(index) - index * BLOCK_TASKS);
      allocatedBlocks++;
    }
    return blocks[index];
  }

  /** Passes the kept objects of the positions to the consumer, in order. */
  void forEachKept(int first, int end, Consumer<WorkflowTask> consumer) {
    int position = first;
    while (keptTasks > 0 && position < end) {
      int index = blockOf(position);
      int endInBlock = Math.min(end, endOf(index));
      if (blocks[index] != null) {
        Arrays.stream(blocks[index].kept, position % BLOCK_TASKS, endInBlock - index * BLOCK_TASKS)
            .filter(Objects::nonNull)
            .forEach(consumer);
      }
      position = endInBlock;
    }
  }

  /** Returns the blocks that have changed since this was last called. */
  BitSet takeChanged() {
    BitSet changed = (BitSet) changedBlocks.clone();
    changedBlocks.clear();
    return changed;
  }

  /** Returns the blocks of which any task has or had an attempt. */
  BitSet used() {
    BitSet used = new BitSet();
    for (int block = 0; block < blocks.length; block++) {
      used.set(block, blocks[block] != null);
    }
    return used;
  }

  /** Returns the estimated memory of the tasks, in bytes. */
  long footprintBytes() {
    return (long) blocks.length * REFERENCE_BYTES
        + (long) allocatedBlocks * BLOCK_BYTES
        + (long) keptTasks * TASK_BYTES;
  }
}
