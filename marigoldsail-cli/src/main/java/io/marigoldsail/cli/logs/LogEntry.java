package io.marigoldsail.cli.logs;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a process's log, as key-value pairs.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param time the timestamp by the clock of the process that wrote it
 * @param process the name of that process
 * @param event the event name
 * @param fields the remaining pairs, in their order
 */
public record LogEntry(
    Instant time, String process, String event, ImmutableMap<String, String> fields) {
  /** A key, then a bare value or a quoted value with backslash escapes. */
  private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"((?:[^\"\\\\]|\\\\.)*)\"|\\S*)");

  private static final Pattern ESCAPED = Pattern.compile("\\\\(.)");

  /** Checks the components. */
  public LogEntry {
    requireNonNull(time, "time");
    requireNonNull(process, "process");
    requireNonNull(event, "event");
    requireNonNull(fields, "fields");
  }

  /**
   * Returns the entry parsed from a line, or empty if the line is not an entry.
   *
   * <p>Skips a prefix that a log collector put before the line's own timestamp.
   */
  public static Optional<LogEntry> parse(String line) {
    int begin = line.indexOf("time=");
    if (begin < 0) {
      return Optional.empty();
    }
    Map<String, String> pairs = new LinkedHashMap<>();
    Matcher pair = PAIR.matcher(line).region(begin, line.length());
    while (pair.find()) {
      String quoted = pair.group(3);
      String value = quoted == null ? pair.group(2) : ESCAPED.matcher(quoted).replaceAll("$1");
      pairs.putIfAbsent(pair.group(1), value);
    }
    Optional<Instant> time = instant(pairs.remove("time"));
    String process = pairs.remove("process");
    String event = pairs.remove("event");
    pairs.remove("level");
    pairs.remove("logger");
    if (time.isEmpty() || process == null || event == null) {
      return Optional.empty();
    }
    return Optional.of(new LogEntry(time.get(), process, event, ImmutableMap.copyOf(pairs)));
  }

  private static Optional<Instant> instant(String text) {
    try {
      return Optional.of(Instant.parse(text));
    } catch (DateTimeParseException e) {
      // Not a line of this project: skipped like any other line that is not an entry.
      return Optional.empty();
    }
  }

  /** Returns the run id of the entry, such as {@code ID.0.1.17#2}; empty if it has none. */
  public String run() {
    return fields.getOrDefault("run", "");
  }

  /**
   * Returns whether the entry is about the given workflow, task or run, or about the workflow that
   * contains it.
   *
   * @param subject the id of a workflow, task or run as written in the log
   */
  public boolean concerns(String subject) {
    String workflow = fields.getOrDefault("workflow", "");
    boolean ofItsWorkflow = !workflow.isEmpty() && subject.startsWith(workflow + ".");
    return ofItsWorkflow
        || fields.values().stream().anyMatch(value -> equalsOrBelongsTo(value, subject));
  }

  private static boolean equalsOrBelongsTo(String value, String subject) {
    return value.equals(subject)
        || value.startsWith(subject + ".")
        || value.startsWith(subject + "#");
  }
}
