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
 * Real processes that a test starts from its own classpath and can pause, kill and stop.
 *
 * <p>Signals only processes that this instance started, each by its process id. {@link #close}
 * kills those that still run. Not thread-safe.
 */
public final class ProcessFleet implements AutoCloseable {
  private static final long POLL_MILLIS = 20;
  private static final long EXIT_TIMEOUT_SECONDS = 20;

  private final Path directory;
  private final List<String> javaOptions;
  private final Map<String, Process> processes = new LinkedHashMap<>();

  /**
   * Creates an instance without processes.
   *
   * @param directory the directory of the output files, {@code NAME.out} for each process
   * @param javaOptions JVM options of each process, such as a heap limit
   */
  public ProcessFleet(Path directory, List<String> javaOptions) {
    this.directory = directory;
    this.javaOptions = List.copyOf(javaOptions);
  }

  /**
   * Starts a process.
   *
   * @param name the name of the process in this instance; may be reused once the earlier process
   *     has exited
   * @param mainClass the main class, on the classpath of this JVM
   * @param arguments the program arguments
   */
  public void start(String name, String mainClass, List<String> arguments) {
    Process previous = processes.get(name);
    checkState(previous == null || !previous.isAlive(), "process %s is already running", name);
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

  /** Kills a process immediately, as a VM failure would, and waits for its exit. */
  public void kill(String name) {
    process(name).destroyForcibly();
    awaitExit(name);
  }

  /** Requests a graceful shutdown of a process (SIGTERM); see {@link #awaitExit}. */
  public void stop(String name) {
    process(name).destroy();
  }

  /** Pauses a process (SIGSTOP): its connections stay open. */
  public void pause(String name) {
    signal(name, "-STOP");
  }

  /** Resumes a paused process (SIGCONT). */
  public void resume(String name) {
    signal(name, "-CONT");
  }

  /** Returns whether a process is alive, paused or not. */
  public boolean isAlive(String name) {
    return process(name).isAlive();
  }

  /** Returns the process id. */
  public long pid(String name) {
    return process(name).pid();
  }

  /**
   * Waits for a process to exit and returns its exit status.
   *
   * @throws IllegalStateException if it does not exit within 20 seconds
   */
  public int awaitExit(String name) {
    try {
      boolean ended = process(name).waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      checkState(ended, "process %s did not exit", name);
      return process(name).exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  /** Returns the output of all processes of this name so far. */
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
   * Waits until a condition holds, checking every 20 ms.
   *
   * @param description a description of the condition, for the error message
   * @param seconds the timeout
   * @param condition the condition
   * @throws IllegalStateException if it does not hold before the timeout, with the end of the
   *     output of all processes
   */
  public void await(String description, long seconds, BooleanSupplier condition) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    Object monitor = new Object();
    while (!condition.getAsBoolean()) {
      checkState(
          System.nanoTime() < deadline,
          "no %s within %s s\n%s",
          description,
          seconds,
          outputTails());
      synchronized (monitor) {
        try {
          TimeUnit.MILLISECONDS.timedWait(monitor, POLL_MILLIS);
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
    StringBuilder outputs = new StringBuilder();
    for (String name : processes.keySet()) {
      String text = output(name);
      outputs.append("== ").append(name).append('\n');
      outputs.append(text.substring(Math.max(0, text.length() - 2_000)));
    }
    return outputs.toString();
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
    checkState(process != null, "no process named %s", name);
    return process;
  }

  private Path outputFile(String name) {
    return directory.resolve(name + ".out");
  }
}
