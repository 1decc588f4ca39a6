package io.marigoldsail.testlib.history;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.testlib.platform.TargetRun;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests of callers and their outcomes, to be checked against the runs of targets.
 *
 * <p>Each request has a tag in its path, such as {@code /parking/charge?tag=c17}, which identifies
 * its runs independent of the ids assigned by the system. Thread-safe.
 */
public final class RequestHistory {
  /** The outcome of a request as reported to its caller. */
  public enum Outcome {
    /** A complete response of the target. */
    ANSWERED,
    /** An error that says that the request did not run. */
    NOT_RUN,
    /** An error that says that the request may have run, or no response. */
    UNKNOWN
  }

  /** One request as seen by its caller. */
  private record RecordedRequest(boolean idempotent, Outcome outcome, boolean responseIntact) {}

  private static final String TAG = "tag=";

  private final Map<String, RecordedRequest> requestsByTag = new HashMap<>();

  /** Creates an empty history. */
  public RequestHistory() {}

  /**
   * Records a request.
   *
   * @param tag its unique tag
   * @param idempotent whether it may run more than once
   * @param outcome the outcome reported to the caller
   * @param responseIntact whether the response body was complete and belongs to this request; true
   *     if there was no response
   */
  public synchronized void add(
      String tag, boolean idempotent, Outcome outcome, boolean responseIntact) {
    requestsByTag.put(
        requireNonNull(tag, "tag"), new RecordedRequest(idempotent, outcome, responseIntact));
  }

  /** Returns the number of requests with the given outcome. */
  public synchronized long count(Outcome outcome) {
    return requestsByTag.values().stream().filter(request -> request.outcome() == outcome).count();
  }

  /**
   * Returns the violations of at-most-once execution and of reported outcomes.
   *
   * @param runs the complete records of all targets
   */
  public synchronized List<String> violations(List<TargetRun> runs) {
    Map<String, Integer> counts = new HashMap<>();
    for (TargetRun run : runs) {
      counts.merge(tagOf(run.path()), 1, Integer::sum);
    }
    List<String> violations = new ArrayList<>();
    requestsByTag.forEach(
        (tag, request) -> {
          int ran = counts.getOrDefault(tag, 0);
          if (ran > 1 && !request.idempotent()) {
            violations.add("request " + tag + " ran " + ran + " times");
          }
          if (ran > 0 && request.outcome() == Outcome.NOT_RUN) {
            violations.add("request " + tag + " was reported as not run but ran");
          }
          if (ran == 0 && request.outcome() == Outcome.ANSWERED) {
            violations.add("request " + tag + " was answered but never ran");
          }
          if (!request.responseIntact()) {
            violations.add("request " + tag + " got an incomplete or foreign response");
          }
        });
    return violations;
  }

  private static String tagOf(String path) {
    int start = path.indexOf(TAG);
    if (start < 0) {
      return "";
    }
    int end = path.indexOf('&', start);
    return path.substring(start + TAG.length(), end < 0 ? path.length() : end);
  }
}
