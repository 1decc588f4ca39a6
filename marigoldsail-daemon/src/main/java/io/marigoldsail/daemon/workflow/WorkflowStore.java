package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.capacity.StoreLimits;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The durable store of workflows, which also assigns partitions to entries.
 *
 * <p>Retains the newest record of each key forever. Calls never block; futures complete on any
 * thread and never exceptionally: failures are results.
 */
public interface WorkflowStore {
  /** The topics of the store; all have the same number of partitions. */
  enum Topic {
    /** Submissions of callers; any entry writes them. */
    SUBMISSIONS,
    /** Decisions of owners and progress of runs; written under an epoch only. */
    PROGRESS
  }

  /**
   * A record with a key.
   *
   * @param key replaces older records of the same key
   * @param value an empty value drops the key
   */
  record KeyedRecord(String key, ByteString value) {
    /** Checks the components. */
    public KeyedRecord {
      requireNonNull(key, "key");
      requireNonNull(value, "value");
    }
  }

  /**
   * Makes the appends of one writer idempotent and fences writers of lower epochs.
   *
   * @param epoch a partition rejects appends of a lower epoch than its highest
   * @param sequence the number of the append within its epoch, from 0; empty appends are not
   *     counted
   */
  record Writer(long epoch, long sequence) {}

  /** The result of an append. */
  sealed interface AppendResult {}

  /** The records are durable. */
  record Appended() implements AppendResult {}

  /** Another writer has a higher epoch; nothing was written, and retries will fail as well. */
  record Fenced() implements AppendResult {}

  /** The sequence number does not follow the previous one; nothing was written. */
  record OutOfSequence(String detail) implements AppendResult {}

  /**
   * Nothing was written.
   *
   * @param rejected whether the store would not take the same records at any other time, as they
   *     are too large
   */
  record NotAppended(String reason, boolean rejected) implements AppendResult {
    /** Creates the result of an append that may succeed later. */
    public NotAppended(String reason) {
      this(reason, false);
    }

    /** Returns the result of an append that the store does not take at any time. */
    public static NotAppended rejected(String reason) {
      return new NotAppended(reason, true);
    }
  }

  /**
   * Nothing was written, since the owners of all partitions can keep no more workflows now.
   *
   * @param retainedBytes the estimated size of what they keep
   * @param maxBytes the maximum of it
   */
  record OwnersFull(long retainedBytes, long maxBytes) implements AppendResult {}

  /** Nothing was written: the store takes no submission of this size at any time. */
  record SubmissionTooLarge(int bytes, int maxBytes) implements AppendResult {}

  /** The records may have been written, or may still be written. */
  record AppendUnknown(String reason) implements AppendResult {}

  /** The result of a read. */
  sealed interface ReadResult {}

  /**
   * Records in the order of their offsets.
   *
   * @param nextOffset the offset of the next read
   * @param endOffset the offset after the newest record when the store answered; greater than the
   *     next offset if the response had no room for all records
   */
  record Records(ImmutableList<KeyedRecord> records, long nextOffset, long endOffset)
      implements ReadResult {
    /** Creates the result of a read that reached the end of the partition. */
    public Records(ImmutableList<KeyedRecord> records, long nextOffset) {
      this(records, nextOffset, nextOffset);
    }
  }

  /** The requested offset has expired; the remaining records are read by {@link #readNewest}. */
  record Expired() implements ReadResult {}

  /** Nothing could be read. */
  record ReadFailed(String reason) implements ReadResult {}

  /** The result of reading a page of the newest records. */
  sealed interface NewestResult {}

  /**
   * A page of the newest records.
   *
   * @param continueAfter the key to continue after, or empty if this is the last page
   * @param endOffset the offset after the newest record at the time of the page
   */
  record NewestPage(
      ImmutableList<KeyedRecord> records, Optional<String> continueAfter, long endOffset)
      implements NewestResult {}

  /** The page could not be read. */
  record NewestUnavailable(String reason) implements NewestResult {}

  /** The result of a join. */
  sealed interface JoinResult {}

  /**
   * The caller is a member.
   *
   * @param generation increases with every change of the members or their partitions
   * @param partitions the partitions assigned to the caller
   */
  record Joined(long generation, ImmutableSet<Integer> partitions) implements JoinResult {}

  /** The store did not respond or refused the join. */
  record JoinFailed(String reason) implements JoinResult {}

  /** The result of reading the owners. */
  sealed interface OwnersResult {}

  /** The owners of all partitions that have one. */
  record Owners(ImmutableList<Owner> owners) implements OwnersResult {
    /** Returns the owning member by partition. */
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

  /** Returns what the store takes at most. */
  StoreLimits limits();

  /** Returns the number of partitions of each topic. */
  int partitions();

  /**
   * Appends records atomically.
   *
   * @param writer empty for an append without an epoch
   */
  CompletableFuture<AppendResult> append(
      Topic topic, int partition, List<KeyedRecord> records, Optional<Writer> writer);

  /**
   * Reads records, waiting until there is at least one.
   *
   * @param from the offset of the first record to read
   * @param waitMillis maximum time to wait for the first record, in milliseconds
   */
  CompletableFuture<ReadResult> read(Topic topic, int partition, long from, long waitMillis);

  /**
   * Reads a page of the newest record of each key.
   *
   * @param after the key after which the page starts; empty for the first page
   */
  CompletableFuture<NewestResult> readNewest(Topic topic, int partition, Optional<String> after);

  /**
   * Becomes or remains a member; the partitions in the result are the caller's until its next join.
   *
   * @param generation the generation of the last result, 0 at first
   */
  CompletableFuture<JoinResult> join(String member, long generation);

  /** Removes the member and releases all of its partitions. */
  CompletableFuture<Boolean> leave(String member);

  /** Reads the owners of all partitions. */
  CompletableFuture<OwnersResult> owners();
}
