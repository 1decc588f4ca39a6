package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One incarnation of a worker: from a start to the end of its process.
 *
 * <p>A worker may start again under the id that it had. Its runs, the numbers of their ends and its
 * clock then start anew, so the id alone does not identify an incarnation; the time of the start
 * does. A worker that tells no such time takes a new id at each start, and its id is the
 * incarnation.
 *
 * <p>Messages, records and logs hold the {@linkplain #name() name}, which programs that know no
 * births treat as an opaque id. Immutable. Rejects nulls.
 *
 * @param id the worker's id; not empty and without {@value #SEPARATOR}
 * @param birth when the worker started, by its own wall clock in milliseconds since 1970; empty if
 *     it does not tell
 */
public record WorkerIncarnation(String id, OptionalLong birth) {
  /** The latest birth, in milliseconds since 1970: names have at most 18 digits of it. */
  public static final long MAX_BIRTH = 999_999_999_999_999_999L;

  private static final String SEPARATOR = "@";
  private static final Pattern WITH_BIRTH = Pattern.compile("([^@]+)@(0|[1-9][0-9]{0,17})");

  /** Checks the components. */
  public WorkerIncarnation {
    requireNonNull(birth, "birth");
    checkArgument(!id.isEmpty(), "the worker id is empty");
    checkArgument(!id.contains(SEPARATOR), "the worker id contains %s: %s", SEPARATOR, id);
    checkArgument(
        birth.orElse(0) >= 0 && birth.orElse(0) <= MAX_BIRTH,
        "birth is not from 0 to %s: %s",
        MAX_BIRTH,
        birth);
  }

  /** Returns the incarnation of a worker that tells no time of its start. */
  public static WorkerIncarnation of(String id) {
    return new WorkerIncarnation(id, OptionalLong.empty());
  }

  /** Returns the incarnation of a worker that started at the given time. */
  public static WorkerIncarnation of(String id, long birth) {
    return new WorkerIncarnation(id, OptionalLong.of(birth));
  }

  /**
   * Returns the incarnation of the given name.
   *
   * @throws IllegalArgumentException if the name is not one that {@link #name()} returns
   */
  public static WorkerIncarnation parse(String name) {
    Matcher matcher = WITH_BIRTH.matcher(name);
    return matcher.matches()
        ? of(matcher.group(1), Long.parseLong(matcher.group(2)))
        : of(requireNonNull(name, "name"));
  }

  /**
   * Returns whether two names may denote the same incarnation: they are equal, or one lacks the
   * birth, as those of programs that know no births do.
   */
  public static boolean mayBeSame(String name, String other) {
    if (name.equals(other)) {
      return true;
    }
    boolean oneLacksBirth = name.contains(SEPARATOR) != other.contains(SEPARATOR);
    return oneLacksBirth && idOf(name).equals(idOf(other));
  }

  /** Returns whether two names denote different incarnations of workers with the same id. */
  public static boolean areSuccessive(String name, String other) {
    return idOf(name).equals(idOf(other)) && !mayBeSame(name, other);
  }

  /** Returns the id of the worker that the name denotes an incarnation of. */
  public static String idOf(String name) {
    int separator = name.indexOf(SEPARATOR);
    return separator < 0 ? name : name.substring(0, separator);
  }

  /** Returns the name in messages, records and logs. */
  public String name() {
    return birth.isPresent() ? id + SEPARATOR + birth.getAsLong() : id;
  }

  @Override
  public String toString() {
    return name();
  }
}
