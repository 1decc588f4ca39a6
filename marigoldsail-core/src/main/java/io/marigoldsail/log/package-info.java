/**
 * Client of the platform's log service: follows streams and appends exactly once.
 *
 * <p>Use {@link io.marigoldsail.log.LogService} to plug in a platform, {@link
 * io.marigoldsail.log.StreamFollower} to fold a stream into state, and {@link
 * io.marigoldsail.log.LogAppender} to append to it. {@link io.marigoldsail.log.SnapshotWriter}
 * writes snapshots, so that a stream can be read after its first records expired.
 *
 * <p>Every process folds a stream on its own, and all must reach the same state. Which entries take
 * effect therefore depends on the content of the stream alone, never on where a reader started: an
 * entry takes effect if its sequence number is above those of all earlier entries of its writer
 * ({@link io.marigoldsail.log.WriterSequences}), and a snapshot includes these numbers. Only {@code
 * StreamFollower}, {@code LogAppender} and {@code SnapshotWriter} use threads and clocks; the
 * decisions are in {@code StreamCursor}, {@code AppendQueue}, {@code SnapshotSchedule} and {@code
 * Backoff}, which receive the time as an argument.
 */
package io.marigoldsail.log;
