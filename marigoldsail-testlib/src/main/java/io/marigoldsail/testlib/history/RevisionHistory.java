package io.marigoldsail.testlib.history;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Publishes and readings of one configuration, to be held against a single order of revisions.
 *
 * <p>A revision is a register that only accepted publishes write. The history is linearizable if
 * the revisions themselves are such an order: each has one content, a publish that ended before
 * another began has the lower one, and no process ever shows a lower one after a higher. Times are
 * of one clock, in any unit. Safe for any thread.
 */
public final class RevisionHistory {
  private record Publish(long revision, String content, long startedAt, long endedAt) {}

  private record Read(String process, long revision, String content, long readAt) {}

  private final List<Publish> publishes = new ArrayList<>();
  private final List<Read> reads = new ArrayList<>();

  /** Creates an empty history. */
  public RevisionHistory() {}

  /**
   * Keeps a publish that was accepted.
   *
   * @param revision the revision that it was told to be
   * @param content what was published
   * @param began when it was asked for
   * @param ended when it was told to be accepted
   */
  public synchronized void recordPublish(long revision, String content, long began, long ended) {
    publishes.add(new Publish(revision, requireNonNull(content, "content"), began, ended));
  }

  /**
   * Keeps what a process showed as in force.
   *
   * @param process the process, one name for each life of it
   * @param revision the revision it showed
   * @param content the content it showed
   * @param at when it was asked
   */
  public synchronized void recordRead(String process, long revision, String content, long at) {
    reads.add(new Read(process, revision, requireNonNull(content, "content"), at));
  }

  /** Returns the highest revision that was accepted, or 0. */
  public synchronized long highestRevision() {
    return publishes.stream().mapToLong(Publish::revision).max().orElse(0);
  }

  /** Returns the violations found. */
  public synchronized List<String> violations() {
    List<String> found = new ArrayList<>();
    checkContents(found);
    checkOrderOfPublishes(found);
    checkReads(found);
    return found;
  }

  private void checkContents(List<String> found) {
    Map<Long, String> contents = new HashMap<>();
    for (Publish publish : publishes) {
      String other = contents.put(publish.revision(), publish.content());
      if (other != null) {
        found.add("revision " + publish.revision() + " was accepted twice");
      }
    }
    for (Read reading : reads) {
      String other = contents.putIfAbsent(reading.revision(), reading.content());
      if (other != null && !other.equals(reading.content())) {
        found.add(reading.process() + " shows another content of revision " + reading.revision());
      }
    }
  }

  private void checkOrderOfPublishes(List<String> found) {
    for (Publish earlier : publishes) {
      for (Publish later : publishes) {
        if (earlier.endedAt() < later.startedAt() && earlier.revision() >= later.revision()) {
          found.add("revision " + later.revision() + " was published after " + earlier.revision());
        }
      }
    }
  }

  private void checkReads(List<String> found) {
    Map<String, Read> last = new HashMap<>();
    List<Read> ordered = new ArrayList<>(reads);
    ordered.sort(Comparator.comparingLong(Read::readAt));
    for (Read reading : ordered) {
      Read before = last.put(reading.process(), reading);
      if (before != null && before.revision() > reading.revision()) {
        found.add(
            reading.process()
                + " went back from revision "
                + before.revision()
                + " to "
                + reading.revision());
      }
      for (Publish publish : publishes) {
        if (publish.revision() == reading.revision() && reading.readAt() < publish.startedAt()) {
          found.add(reading.process() + " showed " + reading.revision() + " before its publish");
        }
      }
    }
  }
}
