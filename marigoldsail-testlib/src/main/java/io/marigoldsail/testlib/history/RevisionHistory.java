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
 * <p>The configuration is a register that only accepted publishes write. The history is linearizable
 * in revision order if each revision has one content, a publish that ended before another started
 * has the lower revision, and no process shows a lower revision after a higher one. Times are from
 * one clock, in any unit. Thread-safe.
 */
public final class RevisionHistory {
  private record Publish(long revision, String content, long began, long ended) {}

  private record Reading(String process, long revision, String content, long at) {}

  private final List<Publish> publishes = new ArrayList<>();
  private final List<Reading> readings = new ArrayList<>();

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
  public synchronized void published(long revision, String content, long startedAt, long endedAt) {
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
  public synchronized void read(String process, long revision, String content, long at) {
    readings.add(new Reading(process, revision, requireNonNull(content, "content"), at));
  }

  /** Returns the highest accepted revision, or 0 if there is none. */
  public synchronized long highest() {
    return publishes.stream().mapToLong(Publish::revision).max().orElse(0);
  }

  /** Returns the violations of linearizability. */
  public synchronized List<String> violations() {
    List<String> violations = new ArrayList<>();
    checkContents(violations);
    checkOrderOfPublishes(violations);
    checkReadings(violations);
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
    for (Reading reading : readings) {
      String other = contents.putIfAbsent(reading.revision(), reading.content());
      if (other != null && !other.equals(reading.content())) {
        violations.add(reading.process() + " shows different content for revision " + reading.revision());
      }
    }
  }

  private void checkOrderOfPublishes(List<String> violations) {
    for (Publish earlier : publishes) {
      for (Publish later : publishes) {
        if (earlier.ended() < later.began() && earlier.revision() >= later.revision()) {
          violations.add("revision " + later.revision() + " was published after " + earlier.revision());
        }
      }
    }
  }

  private void checkReadings(List<String> violations) {
    Map<String, Reading> last = new HashMap<>();
    List<Reading> ordered = new ArrayList<>(readings);
    ordered.sort(Comparator.comparingLong(Reading::at));
    for (Reading reading : ordered) {
      Reading previous = last.put(reading.process(), reading);
      if (previous != null && previous.revision() > reading.revision()) {
        violations.add(
            reading.process()
                + " went back from revision "
                + previous.revision()
                + " to "
                + reading.revision());
      }
      for (Publish publish : publishes) {
        if (publish.revision() == reading.revision() && reading.at() < publish.began()) {
          violations.add(reading.process() + " showed " + reading.revision() + " before its publish");
        }
      }
    }
  }
}
