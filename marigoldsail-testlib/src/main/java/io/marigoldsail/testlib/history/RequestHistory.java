package io.marigoldsail.testlib.history;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.testlib.platform.TargetRun;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What callers asked for and were told, to be held against what targets ran.
 *
 * <p>Each request carries a tag that is in its path, such as {@code /parking/charge?tag=c17}, so
 * that its runs are found whatever ids the system gave them. Safe for any thread.
 */
public final class RequestHistory {
  /** What the caller was told about its request. */
  public enum Outcome {
    /** A whole answer of the target. */
    ANSWERED,
    /** That it did not run. */
    NOT_RUN,
    /** That it may have run, or nothing at all. */
    UNKNOWN
  }

  /** One request as its caller saw it. */
  private record RecordedRequest(boolean idempotent, Outcome outcome, boolean responseIntact) {}

  private static final String TAG = "tag=";

  private final Map<String, RecordedRequest> requestsByTag = new HashMap<>();

  /** Creates an empty history. */
  public RequestHistory() {}

  /**
   * Keeps one request.
   *
   * @param tag its tag, different from all others
   * @param idempotent whether it may run more than once
   * @param told what the caller was told
   * @param wholeAndOwn whether the answer's body was the one that belongs to this request; true
   *     where there was none
   */
  public synchronized void add(String tag, boolean idempotent, Outcome told, boolean wholeAndOwn) {
    requestsByTag.put(
        requireNonNull(tag, "tag"), new RecordedRequest(idempotent, told, wholeAndOwn));
  }

  /** Returns how many requests ended in a way. */
  public synchronized long count(Outcome told) {
    return requestsByTag.values().stream().filter(one -> one.outcome() == told).count();
  }

  /**
   * Returns the violations, given every run of every target.
   *
   * @param runs all targets' records, complete
   */
  public synchronized List<String> violations(List<TargetRun> runs) {
    Map<String, Integer> counts = new HashMap<>();
    for (TargetRun run : runs) {
      counts.merge(tagOf(run.path()), 1, Integer::sum);
    }
    List<String> found = new ArrayList<>();
    requestsByTag.forEach(
        (tag, one) -> {
          int ran = counts.getOrDefault(tag, 0);
          if (ran > 1 && !one.idempotent()) {
            found.add("request " + tag + " ran " + ran + " times");
          }
          if (ran > 0 && one.outcome() == Outcome.NOT_RUN) {
            found.add("request " + tag + " was told not run but ran");
          }
          if (ran == 0 && one.outcome() == Outcome.ANSWERED) {
            found.add("request " + tag + " was answered but never ran");
          }
          if (!one.responseIntact()) {
            found.add("request " + tag + " got a broken or foreign answer");
          }
        });
    return found;
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
