package io.marigoldsail.cli.logs;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The starts of processes, and how long each took to its stages, computed from their logs.
 *
 * <p>Durations are differences on the clock of one process, so clock skew does not distort them.
 * Stateless.
 */
public final class LogStarts {
  /** A stage that a process reaches after its start; by the first log line that tells of it. */
  public enum Stage {
    /** The process listens. */
    LISTENING("started"),
    /** The store has answered the first join, or the first read of an entry standing by. */
    STORE("store-regained"),
    /** The entry has a configuration. */
    CONFIGURED("configuration-in-force"),
    /** The entry owns a partition. */
    OWNER("partition-owned"),
    /** A VM has reported to the entry. */
    VM("vm-connected"),
    /** The entry has ordered a run. */
    ORDER("run-ordered"),
    /** The side process knows its worker. */
    WORKER("worker-found"),
    /** The side process is connected to an entry. */
    ENTRY("entry-connected");

    private final String event;

    Stage(String event) {
      this.event = event;
    }
  }

  /**
   * One start.
   *
   * @param process the name of the process
   * @param time when the process logged that it was starting
   * @param stages the time of each stage that was reached, in milliseconds after the start
   */
  public record Start(String process, Instant time, ImmutableMap<Stage, Long> stages) {
    /** Checks the components. */
    public Start {
      checkArgument(!process.isEmpty(), "process is empty");
      requireNonNull(time, "time");
      requireNonNull(stages, "stages");
    }

    /** Returns the time of the stage in milliseconds after the start, or empty if not reached. */
    public OptionalLong millis(Stage stage) {
      Long millis = stages.get(stage);
      return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
    }
  }

  private static final String STARTING = "starting";

  private LogStarts() {}

  /** Returns the starts by their time; entries of one process are expected in their order. */
  public static ImmutableList<Start> of(List<LogEntry> entries) {
    Map<String, Map<Stage, Long>> open = new HashMap<>();
    Map<String, Instant> startedAt = new HashMap<>();
    List<Start> starts = new ArrayList<>();
    for (LogEntry entry : entries) {
      String process = entry.process();
      if (entry.event().equals(STARTING)) {
        close(process, startedAt, open, starts);
        startedAt.put(process, entry.time());
        open.put(process, new EnumMap<>(Stage.class));
      } else if (open.containsKey(process)) {
        record(entry, startedAt.get(process), open.get(process));
      }
    }
    List.copyOf(open.keySet()).forEach(process -> close(process, startedAt, open, starts));
    return starts.stream()
        .sorted(Comparator.comparing(Start::time).thenComparing(Start::process))
        .collect(ImmutableList.toImmutableList());
  }

  private static void record(LogEntry entry, Instant start, Map<Stage, Long> stages) {
    for (Stage stage : Stage.values()) {
      if (stage.event.equals(entry.event())) {
        stages.putIfAbsent(stage, entry.time().toEpochMilli() - start.toEpochMilli());
      }
    }
  }

  private static void close(
      String process,
      Map<String, Instant> startedAt,
      Map<String, Map<Stage, Long>> open,
      List<Start> starts) {
    Map<Stage, Long> stages = open.remove(process);
    if (stages != null) {
      starts.add(new Start(process, startedAt.remove(process), ImmutableMap.copyOf(stages)));
    }
  }
}
