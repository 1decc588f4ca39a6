package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.observe.LogLine;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The evidence on which an owner considers a run lost. Immutable.
 *
 * @param kind what shows that the run is over
 * @param ageNanos the maximum age of the evidence in nanoseconds; empty where it is not known and
 *     does not matter, since an incarnation that is gone stays gone
 */
record LossEvidence(Kind kind, OptionalLong ageNanos) {
  /** What shows that a run is over. */
  enum Kind {
    /** A report named the worker incarnation as gone. */
    GONE_REPORTED("worker is gone"),
    /** A connection named the worker incarnation and later another one. */
    SUCCESSOR_ON_CONNECTION("worker is gone"),
    /** A report named another incarnation after the side process was asked for this one. */
    ANSWERED("worker is gone"),
    /** Every lease that the run may hold has expired; the age is that of the last one. */
    EXPIRED("VM is unreachable and its lease has expired");

    private final String reason;

    Kind(String reason) {
      this.reason = reason;
    }

    /** Returns the reason for logs. */
    String reason() {
      return reason;
    }
  }

  /** Checks the components. */
  LossEvidence {
    requireNonNull(kind, "kind");
    requireNonNull(ageNanos, "ageNanos");
  }

  /** Returns evidence of unknown age. */
  static LossEvidence of(Kind kind) {
    return new LossEvidence(kind, OptionalLong.empty());
  }

  /** Returns evidence that is at most as old as given, in nanoseconds. */
  static LossEvidence of(Kind kind, long ageNanos) {
    return new LossEvidence(kind, OptionalLong.of(ageNanos));
  }

  /** Returns the line with the evidence appended. */
  LogLine appendTo(LogLine line) {
    LogLine withKind = line.with("evidence", kind);
    return ageNanos.isPresent()
        ? withKind.with("age_ms", TimeUnit.NANOSECONDS.toMillis(ageNanos.getAsLong()))
        : withKind;
  }
}
