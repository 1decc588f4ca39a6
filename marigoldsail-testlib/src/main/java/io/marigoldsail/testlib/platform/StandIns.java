package io.marigoldsail.testlib.platform;

import com.google.common.net.HostAndPort;
import io.marigoldsail.job.Sizes;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Main class that runs one stand-in until the process is killed, such as {@code StandIns log
 * --listen 127.0.0.1:7000}.
 *
 * <p>Prints {@code listening ADDRESS} once it accepts requests.
 */
@Command(
    name = "stand-in",
    mixinStandardHelpOptions = true,
    description = "Runs a stand-in of the platform: log, target or worker.")
public final class StandIns {
  private static final long GIBIBYTE = 1L << 30;

  @Command(name = "log", mixinStandardHelpOptions = true, description = "The log service.")
  private static final class LogCommand implements Callable<Integer> {
    @Option(names = "--listen", required = true, description = "host:port, port 0 for a free one")
    private String listen;

    @Override
    public Integer call() throws InterruptedException {
      HostAndPort at = HostAndPort.fromString(listen);
      return announceAndBlock(new StandInLogService(at.getHost(), at.getPort()).start().address());
    }
  }

  @Command(name = "target", mixinStandardHelpOptions = true, description = "A target.")
  private static final class TargetCommand implements Callable<Integer> {
    @Option(names = "--listen", required = true, description = "host:port, port 0 for a free one")
    private String listen;

    @Option(names = "--name", defaultValue = "target", description = "name in its record")
    private String name;

    @Option(names = "--slots", defaultValue = "8", description = "concurrent requests")
    private int slots;

    @Option(
        names = "--connections",
        defaultValue = "64",
        description = "maximum number of connections")
    private int connections;

    @Option(
        names = "--service-millis",
        defaultValue = "0",
        description = "default service time, in milliseconds")
    private long serviceMillis;

    @Override
    public Integer call() throws InterruptedException {
      HostAndPort at = HostAndPort.fromString(listen);
      StandInTarget target =
          new StandInTarget(name, at.getHost(), at.getPort(), slots, connections);
      target.setFaults(TargetFaults.ofServiceMillis(serviceMillis));
      return announceAndBlock(target.start().address());
    }
  }

  @Command(name = "worker", mixinStandardHelpOptions = true, description = "A worker.")
  private static final class WorkerCommand implements Callable<Integer> {
    @Option(names = "--listen", required = true, description = "host:port, port 0 for a free one")
    private String listen;

    @Option(names = "--name", defaultValue = "worker", description = "name in its record")
    private String name;

    @Option(
        names = "--milli-processors",
        defaultValue = "16000",
        description = "capacity in thousandths of a processor")
    private long milliProcessors;

    @Option(names = "--memory-gibibytes", defaultValue = "60", description = "memory in GiB")
    private long memoryGibibytes;

    @Option(names = "--accelerators", defaultValue = "0", description = "number of accelerators")
    private long accelerators;

    @Override
    public Integer call() throws InterruptedException {
      HostAndPort at = HostAndPort.fromString(listen);
      Sizes capacity = new Sizes(milliProcessors, memoryGibibytes * GIBIBYTE, accelerators);
      return announceAndBlock(
          new StandInWorker(name, at.getHost(), at.getPort(), capacity).start().address());
    }
  }

  private StandIns() {}

  /** Runs the stand-in named by the arguments; exits with status 2 if they are invalid. */
  public static void main(String[] arguments) {
    CommandLine command =
        new CommandLine(new StandIns())
            .addSubcommand(new LogCommand())
            .addSubcommand(new TargetCommand())
            .addSubcommand(new WorkerCommand());
    System.exit(command.execute(arguments));
  }

  private static int announceAndBlock(String address) throws InterruptedException {
    System.out.println("listening " + address);
    new CountDownLatch(1).await();
    return 0;
  }
}
