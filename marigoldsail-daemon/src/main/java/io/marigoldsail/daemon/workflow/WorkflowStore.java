package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The store in which workflows last, and which divides their partitions among entries.
 *
 * <p>Keeps the newest record of each key for good. Calls never block; futures complete on any
 * thread and never exceptionally: what fails is a result.
 */
public interface WorkflowStore {
  /** What is kept; each has the same number of partitions. */
  enum Topic {
    /** What callers handed in; any entry writes it. */
    SUBMISSIONS,
    /** What owners decided and learned; written under an epoch only. */
    PROGRESS
  }

  /**
   * A record to write.
   *
   * @param key the older records of this key go
   * @param value empty to drop the key
   */
  record KeyedRecord(String key, ByteString value) {
    /** Checks the components. */
    public KeyedRecord {
      requireNonNull(key, "key");
      requireNonNull(value, "value");
    }
  }

  /**
   * Makes appends of one writer idempotent, and shuts out writers of lower epochs.
   *
   * @param epoch a partition takes none of a lower one than it has seen
   * @param sequence counts the appends of an epoch, from 0
   */
  record Writer(long epoch, long sequence) {}

  /** How an append ended. */
  sealed interface AppendResult {}

  /** It is durable. */
  record Appended() implements AppendResult {}

  /** Another writer has a higher epoch; nothing was written and never will be. */
  record Fenced() implements AppendResult {}

  /** The sequence number does not follow the last one; nothing was written. */
  record OutOfSequence(String detail) implements AppendResult {}

  /** Nothing was written. */
  record NotAppended(String reason) implements AppendResult {}

  /** It may have been written, or may be yet. */
  record AppendUnknown(String reason) implements AppendResult {}

  /** How a reading ended. */
  sealed interface ReadResult {}

  /**
   * Records in their order.
   *
   * @param nextOffset the offset to read from next
   */
  record Records(ImmutableList<KeyedRecord> records, long nextOffset) implements ReadResult {}

  /** The records asked for are gone; what is left is read by {@link #readNewest}. */
  record Expired() implements ReadResult {}

  /** Nothing could be read. */
  record ReadFailed(String reason) implements ReadResult {}

  /** One page of the newest records. */
  sealed interface NewestResult {}

  /**
   * A page.
   *
   * @param continueAfter the key to continue after, or empty at the end
   * @param endOffset the offset after the newest record when the page was made
   */
  record NewestPage(
      ImmutableList<KeyedRecord> records, Optional<String> continueAfter, long endOffset)
      implements NewestResult {}

  /** No page could be had. */
  record NewestUnavailable(String reason) implements NewestResult {}

  /** Membership as the store told it. */
  sealed interface JoinResult {}

  /**
   * The caller is a member.
   *
   * @param generation rises with every change of the members or their partitions
   * @param partitions what the caller owns now
   */
  record Joined(long generation, ImmutableSet<Integer> partitions) implements JoinResult {}

  /** The store did not answer, or refused. */
  record JoinFailed(String reason) implements JoinResult {}

  /** Who owns what. */
  sealed interface OwnersResult {}

  /** The partitions that have an owner. */
  record Owners(ImmutableList<Owner> owners) implements OwnersResult {
    /** Returns the owner of each partition that has one, by partition. */
    public ImmutableMap<Integer, String> byPartition() {
      ImmutableMap.Builder<Integer, String> owned = ImmutableMap.builder();
      owners.forEach(owner -> owned.put(owner.partition(), owner.member()));
      return owned.buildKeepingLast();
    }
  }

  /** The owners could not be read. */
  record OwnersUnavailable(String reason) implements OwnersResult {}

  /** The owner of a partition. */
  record Owner(int partition, String member) {
    /** Checks the components. */
    public Owner {
      requireNonNull(member, "member");
    }
  }

  /** Returns how many partitions each topic has. */
  int partitions();

  /**
   * Appends records, all or none.
   *
   * @param writer empty for an append of no particular writer
   */
  CompletableFuture<AppendResult> append(
      Topic topic, int partition, List<KeyedRecord> records, Optional<Writer> writer);

  /**
   * Reads records as soon as there is one.
   *
   * @param from the first offset wanted
   * @param waitMillis how long to wait for the first record
   */
  CompletableFuture<ReadResult> read(Topic topic, int partition, long from, long waitMillis);

  /** Reads a page of the newest record of each key, after the given key. */
  CompletableFuture<NewestResult> readNewest(Topic topic, int partition, Optional<String> after);

  /** Becomes or stays a member; the partitions listed are the caller's until the next call. */
  CompletableFuture<JoinResult> join(String member, long generation);

  /** Gives all partitions of the member back. */
  CompletableFuture<Boolean> leave(String member);

  /** Reads who owns what. */
  CompletableFuture<OwnersResult> owners();
}
