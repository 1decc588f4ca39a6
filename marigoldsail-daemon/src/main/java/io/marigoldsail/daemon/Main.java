package io.marigoldsail.daemon;

import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.observe.LogSetup;
import io.marigoldsail.daemon.observe.LogWriter;
import io.marigoldsail.daemon.observe.ShutdownSafeLogManager;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.settings.EntrySettings;
import io.marigoldsail.settings.ProcessSettings;
import io.marigoldsail.settings.SettingsReader;
import io.marigoldsail.settings.SideSettings;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The daemon's command: reads the settings, starts the process of their role, and runs it until it
 * is told to stop by a signal, which it does gracefully.
 *
 * <p>Exit codes: 0 after a planned stop, 2 for bad arguments or settings (an address in use among
 * them), 1 for an internal error.
 */
@Command(
    name = "marigoldsaild",
    mixinStandardHelpOptions = true,
    version = "marigoldsaild 0.1.0",
    description = "Runs one process of marigoldsail: an entry or a side process.")
public final class Main implements Callable<Integer> {
  static final int EXIT_BAD_SETTINGS = 2;

  static {
    // Before anything logs; a class literal does not yet initialize the class and so the log
    // system.
    System.setProperty("java.util.logging.manager", ShutdownSafeLogManager.class.getName());
  }

  private static final EventLog LOG = EventLog.of(Main.class);

  @Option(names = "--settings", required = true, description = "The settings file, JSON.")
  private Path settingsFile;

  @Option(names = "--check", description = "Only check the settings.")
  private boolean checkOnly;

  private Main() {}

  /** Runs the command and ends the Java virtual machine with its exit code. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new Main()).execute(arguments));
  }

  @Override
  public Integer call() throws InterruptedException {
    Result<ProcessSettings> read = SettingsReader.read(settingsFile);
    if (read instanceof Result.Failed<ProcessSettings> failed) {
      return reportInvalidSettings(failed.failure());
    }
    ProcessSettings settings = read.value();
    if (checkOnly) {
      System.out.println(settingsFile + ": correct settings of " + settings.role());
      return 0;
    }
    LogWriter log = LogSetup.install(settings.name(), System.err);
    try {
      return run(create(settings), log);
    } finally {
      log.close();
    }
  }

  private int run(DaemonProcess process, LogWriter log) throws InterruptedException {
    Result<Boolean> started = process.start();
    if (started instanceof Result.Failed<Boolean> failed) {
      return reportInvalidSettings(failed.failure());
    }
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> stop(process, log, ended), "planned-stop"));
    ended.await();
    return 0;
  }

  /**
   * Runs on the signal. The virtual machine halts once this returns, so the stop is done here and
   * not in the main thread, the rest of the log included.
   */
  private static void stop(DaemonProcess process, LogWriter log, CountDownLatch ended) {
    LOG.info(LogLine.of("planned-stop-began"));
    process.close();
    LOG.info(LogLine.of("planned-stop-ended"));
    log.close();
    ended.countDown();
    Runtime.getRuntime().halt(0);
  }

  private static DaemonProcess create(ProcessSettings settings) {
    if (settings instanceof EntrySettings entry) {
      return new EntryProcess(entry);
    }
    return new SideProcess((SideSettings) settings);
  }

  private int reportInvalidSettings(Failure failure) {
    String detail = failure.detail();
    String file = settingsFile.toString();
    System.err.println(detail.startsWith(file) ? detail : file + ": " + detail);
    return EXIT_BAD_SETTINGS;
  }
}
