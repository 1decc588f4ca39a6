package io.marigoldsail.testlib.history;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A history of publishes and reads of one configuration, to be checked for linearizability.
 *
 * <p>The configuration is a register that only accepted publishes write. The history is
 * linearizable in revision order if each revision has one content, a publish that ended before
 * another started has the lower revision, and no process shows a lower revision after a higher one.
 * Times are from one clock, in any unit. Thread-safe.
 */
public final class RevisionHistory {
  private record Publish(long revision, String content, long startedAt, long endedAt) {}

  private record Read(String process, long revision, String content, long readAt) {}

  private final List<Publish> publishes = new ArrayList<>();
  private final List<Read> reads = new ArrayList<>();

  /** Creates an empty history. */
  public RevisionHistory() {}

  /**
   * Records an accepted publish.
   *
   * @param revision the revision returned for it
   * @param content the published content
   * @param startedAt when it was requested
   * @param endedAt when the acceptance was received
   */
  public synchronized void recordPublish(
      long revision, String content, long startedAt, long endedAt) {
    publishes.add(new Publish(revision, requireNonNull(content, "content"), startedAt, endedAt));
  }

  /**
   * Records the configuration that a process showed as in force.
   *
   * @param process the process, with a different name for each incarnation
   * @param revision the revision shown
   * @param content the content shown
   * @param at when the request was sent
   */
  public synchronized void recordRead(String process, long revision, String content, long at) {
    reads.add(new Read(process, revision, requireNonNull(content, "content"), at));
  }

  /** Returns the highest accepted revision, or 0 if there is none. */
  public synchronized long highestRevision() {
    return publishes.stream().mapToLong(Publish::revision).max().orElse(0);
  }

  /** Returns the violations of linearizability. */
  public synchronized List<String> violations() {
    List<String> violations = new ArrayList<>();
    checkContents(violations);
    checkOrderOfPublishes(violations);
    checkReads(violations);
    return violations;
  }

  private void checkContents(List<String> violations) {
    Map<Long, String> contents = new HashMap<>();
    for (Publish publish : publishes) {
      String other = contents.put(publish.revision(), publish.content());
      if (other != null) {
        violations.add("revision " + publish.revision() + " was accepted twice");
      }
    }
    for (Read read : reads) {
      String other = contents.putIfAbsent(read.revision(), read.content());
      if (other != null && !other.equals(read.content())) {
        violations.add(read.process() + " shows different content for revision " + read.revision());
      }
    }
  }

  private void checkOrderOfPublishes(List<String> violations) {
    for (Publish earlier : publishes) {
      for (Publish later : publishes) {
        if (earlier.endedAt() < later.startedAt() && earlier.revision() >= later.revision()) {
          violations.add(
              "revision " + later.revision() + " was published after " + earlier.revision());
        }
      }
    }
  }

  private void checkReads(List<String> violations) {
    Map<String, Read> last = new HashMap<>();
    List<Read> ordered = new ArrayList<>(reads);
    ordered.sort(Comparator.comparingLong(Read::readAt));
    for (Read read : ordered) {
      Read previous = last.put(read.process(), read);
      if (previous != null && previous.revision() > read.revision()) {
        violations.add(
            read.process()
                + " went back from revision "
                + previous.revision()
                + " to "
                + read.revision());
      }
      for (Publish publish : publishes) {
        if (publish.revision() == read.revision() && read.readAt() < publish.startedAt()) {
          violations.add(read.process() + " showed " + read.revision() + " before its publish");
        }
      }
    }
  }
}
