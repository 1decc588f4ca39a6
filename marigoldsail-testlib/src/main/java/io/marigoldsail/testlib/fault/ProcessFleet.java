package io.marigoldsail.testlib.fault;

import static com.google.common.base.Preconditions.checkState;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Real processes started by a test from its own classpath, to be frozen, killed and ended.
 *
 * <p>Only processes that this instance started are touched, each by its id. Whatever still runs
 * ends with {@link #close}. Not safe for use by several threads at once.
 */
public final class ProcessFleet implements AutoCloseable {
  private static final long POLL_MILLIS = 20;
  private static final long EXIT_TIMEOUT_SECONDS = 20;

  private final Path directory;
  private final List<String> javaOptions;
  private final Map<String, Process> processes = new LinkedHashMap<>();

  /**
   * Creates a fleet without processes.
   *
   * @param directory where each process's output goes, as {@code NAME.out}
   * @param javaOptions options of each Java virtual machine, such as a heap limit
   */
  public ProcessFleet(Path directory, List<String> javaOptions) {
    this.directory = directory;
    this.javaOptions = List.copyOf(javaOptions);
  }

  /**
   * Starts a process.
   *
   * @param name its name here; may be used again once an earlier one has ended
   * @param mainClass the class to run, on this process's classpath
   * @param arguments its arguments
   */
  public void start(String name, String mainClass, List<String> arguments) {
    Process earlier = processes.get(name);
    checkState(earlier == null || !earlier.isAlive(), "%s runs already", name);
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(javaOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(outputFile(name).toFile()));
    try {
      processes.put(name, builder.start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Ends a process at once, as a VM that fails does. */
  public void kill(String name) {
    process(name).destroyForcibly();
    awaitExit(name);
  }

  /** Asks a process to stop, as an operator does; see {@link #awaitExit}. */
  public void stop(String name) {
    process(name).destroy();
  }

  /** Freezes a process: it keeps its connections and does nothing. */
  public void pause(String name) {
    signal(name, "-STOP");
  }

  /** Lets a frozen process go on. */
  public void resume(String name) {
    signal(name, "-CONT");
  }

  /** Returns whether a process runs, frozen or not. */
  public boolean isAlive(String name) {
    return process(name).isAlive();
  }

  /** Returns a process's id. */
  public long pid(String name) {
    return process(name).pid();
  }

  /**
   * Waits for a process to end and returns its exit status.
   *
   * @throws IllegalStateException if it does not end
   */
  public int awaitExit(String name) {
    try {
      boolean ended = process(name).waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      checkState(ended, "%s did not end", name);
      return process(name).exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  /** Returns what a process has printed so far, over all its lives. */
  public String output(String name) {
    try {
      return Files.exists(outputFile(name))
          ? Files.readString(outputFile(name), StandardCharsets.UTF_8)
          : "";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Waits until a condition holds, looking every few milliseconds.
   *
   * @param what what is waited for, for the message
   * @param seconds when to give up
   * @param condition what should hold
   * @throws IllegalStateException if it does not hold in time, with what all processes printed
   */
  public void await(String what, long seconds, BooleanSupplier condition) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    Object never = new Object();
    while (!condition.getAsBoolean()) {
      checkState(
          System.nanoTime() < deadline, "no %s within %s s\n%s", what, seconds, outputTails());
      synchronized (never) {
        try {
          TimeUnit.MILLISECONDS.timedWait(never, POLL_MILLIS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          throw new IllegalStateException("interrupted", e);
        }
      }
    }
  }

  @Override
  public void close() {
    for (Process process : processes.values()) {
      process.destroyForcibly();
    }
    processes.keySet().forEach(this::awaitExit);
  }

  private String outputTails() {
    StringBuilder all = new StringBuilder();
    for (String name : processes.keySet()) {
      String text = output(name);
      all.append("== ").append(name).append('\n');
      all.append(text.substring(Math.max(0, text.length() - 2_000)));
    }
    return all.toString();
  }

  private void signal(String name, String signal) {
    try {
      Process kill = new ProcessBuilder("kill", signal, Long.toString(pid(name))).start();
      checkState(kill.waitFor() == 0, "kill %s %s failed", signal, name);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  private Process process(String name) {
    Process process = processes.get(name);
    checkState(process != null, "no process %s", name);
    return process;
  }

  private Path outputFile(String name) {
    return directory.resolve(name + ".out");
  }
}
