/**
 * The platform's log service as this system uses it: following streams, appending exactly once.
 *
 * <p>Reach for {@link io.marigoldsail.log.LogService} to plug in a platform, for {@link
 * io.marigoldsail.log.StreamFollower} to fold a stream into state, and for {@link
 * io.marigoldsail.log.LogAppender} to add to it. {@link io.marigoldsail.log.SnapshotWriter} keeps a
 * stream shorter than its retention.
 *
 * <p>Every process folds a stream by itself, and all of them must come to the same state. So what
 * counts is decided by the stream's content alone, never by when a reader began: an entry counts if
 * its sequence number is above all that its writer's earlier entries carried ({@link
 * io.marigoldsail.log.WriterSequences}), and a snapshot carries those numbers with the state. Only
 * {@code StreamFollower}, {@code LogAppender} and {@code SnapshotWriter} know threads; what they
 * decide stands in {@code StreamCursor}, {@code AppendQueue}, {@code SnapshotSchedule} and {@code
 * Backoff}, which are told the time.
 */
package io.marigoldsail.log;
