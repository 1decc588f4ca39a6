package io.marigoldsail.cli.load;

import io.marigoldsail.cli.ExitCode;
import io.marigoldsail.json.Json;
import io.marigoldsail.time.MonotonicClock;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Generates load as callers would and reports the results. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = {
      "Generates load as callers would and reports the results.",
      "Requests are sent at their planned times, whether or not earlier ones were answered;",
      "latency is measured from the planned time. Ends after the last response."
    })
public final class LoadCommand implements Callable<Integer> {
  private static final int CLIENT_THREADS = 16;
  private static final long PROGRESS_MILLIS = 1_000;
  private static final long POLL_MILLIS = 20;

  @Parameters(
      arity = "1..*",
      paramLabel = "URL",
      description = "URLs, used round robin, such as http://127.0.0.1:8080/parking/lots.")
  private List<String> urls;

  @Option(
      names = "--rate",
      defaultValue = "100",
      description = "Requests a second (${DEFAULT-VALUE}).")
  private double rate;

  @Option(
      names = "--duration",
      defaultValue = "10000",
      paramLabel = "MILLIS",
      description = "Duration of the run, in milliseconds (${DEFAULT-VALUE}).")
  private long durationMillis;

  @Option(
      names = "--even",
      description = "Send at constant intervals instead of as a Poisson process.")
  private boolean evenlySpaced;

  @Option(
      names = "--callers",
      split = ",",
      defaultValue = "load=1",
      paramLabel = "NAME=WEIGHT",
      description = "Callers and their weights (${DEFAULT-VALUE}).")
  private Map<String, Double> callers;

  @Option(
      names = "--non-idempotent",
      defaultValue = "0",
      paramLabel = "SHARE",
      description = "Share of POST requests with an Idempotency-Key, 0 to 1 (${DEFAULT-VALUE}).")
  private double nonIdempotentShare;

  @Option(
      names = "--deadline",
      defaultValue = "1000",
      paramLabel = "MILLIS",
      description = "Each request's deadline, in milliseconds (${DEFAULT-VALUE}).")
  private long deadlineMillis;

  @Option(
      names = "--body",
      defaultValue = "0",
      paramLabel = "BYTES",
      description = "Length of a POST's body (${DEFAULT-VALUE}).")
  private int bodyBytes;

  @Option(names = "--query", defaultValue = "", description = "Query added to every URL.")
  private String query;

  @Option(
      names = "--keys",
      defaultValue = "0",
      paramLabel = "N",
      description = "Number of distinct keys; 0 for requests without a key (${DEFAULT-VALUE}).")
  private int keys;

  @Option(
      names = "--key-skew",
      defaultValue = "0",
      paramLabel = "EXPONENT",
      description = "Zipf exponent of the keys; 0 for a uniform distribution (${DEFAULT-VALUE}).")
  private double keySkew;

  @Option(
      names = "--verify-echo",
      description = "Count a POST as wrong-body unless the response equals its body.")
  private boolean verifyEcho;

  @Option(
      names = "--max-open",
      defaultValue = "20000",
      paramLabel = "N",
      description = "Maximum of open requests; more are counted but not sent (${DEFAULT-VALUE}).")
  private int maxOpen;

  @Option(
      names = "--connections",
      defaultValue = "512",
      paramLabel = "N",
      description = "Maximum of connections per address (${DEFAULT-VALUE}).")
  private int connections;

  @Option(names = "--seed", defaultValue = "1", description = "Seed of the random choices.")
  private long seed;

  @Option(
      names = "--warmup",
      defaultValue = "0",
      paramLabel = "MILLIS",
      description = "Time at the start that is not reported, in milliseconds (${DEFAULT-VALUE}).")
  private long warmupMillis;

  @Option(names = "--quiet", description = "Do not print progress.")
  private boolean quiet;

  @Option(names = "--json", description = "Report in JSON.")
  private boolean json;

  @Spec private CommandSpec command;

  /** Creates the command; picocli sets its options. */
  public LoadCommand() {}

  @Override
  public Integer call() throws Exception {
    LoadPlan plan = plan();
    HttpClient http = client();
    http.start();
    ScheduledExecutorService progress = Executors.newSingleThreadScheduledExecutor();
    try {
      String runId = Long.toHexString(System.nanoTime());
      LoadSender sender = new JettyLoadSender(http, plan, verifyEcho, runId);
      Pacer pacer = Pacer.of(MonotonicClock.system());
      LoadSchedule schedule = new LoadSchedule(plan, new SplittableRandom(seed));
      LoadRun run = new LoadRun(schedule, sender, pacer, maxOpen, warmupMillis);
      if (!quiet) {
        showProgress(progress, run);
      }
      long start = pacer.nanos();
      run.sendAll();
      awaitResponses(progress, run);
      long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(pacer.nanos() - start);
      LoadReport report =
          new LoadReport(run.reported(), elapsedMillis - warmupMillis, run.statistics());
      return report(report, run).code();
    } finally {
      progress.shutdownNow();
      http.stop();
    }
  }

  private LoadPlan plan() {
    try {
      List<String> targets =
          urls.stream().map(url -> query.isEmpty() ? url : url + "?" + query).toList();
      targets.forEach(java.net.URI::create);
      return new LoadPlan(
          targets,
          rate,
          durationMillis,
          evenlySpaced,
          callers,
          nonIdempotentShare,
          deadlineMillis,
          bodyBytes,
          keys,
          keySkew,
          seed);
    } catch (IllegalArgumentException e) {
      throw new ParameterException(command.commandLine(), e.getMessage());
    }
  }

  private HttpClient client() {
    HttpClient http = new HttpClient();
    QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS, 2);
    threads.setDaemon(true);
    http.setExecutor(threads);
    http.setMaxConnectionsPerDestination(connections);
    http.setMaxRequestsQueuedPerDestination(maxOpen);
    http.setFollowRedirects(false);
    http.setUserAgentField(null);
    return http;
  }

  private void showProgress(ScheduledExecutorService scheduler, LoadRun run) {
    PrintWriter err = command.commandLine().getErr();
    var unused =
        scheduler.scheduleAtFixedRate(
            () -> {
              LoadStatistics counts = run.statistics();
              err.printf(
                  Locale.ROOT,
                  "sent %d, served %d, not served %d, open %d, p99 %.1f ms%n",
                  run.sent(),
                  counts.served(),
                  counts.completed() - counts.served(),
                  run.open(),
                  counts.latencyFromPlan().getValueAtPercentile(99) / 1000.0);
              err.flush();
            },
            PROGRESS_MILLIS,
            PROGRESS_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Waits for all open requests; each has its own timeout, so the wait is bounded. */
  private void awaitResponses(ScheduledExecutorService scheduler, LoadRun run)
      throws InterruptedException {
    CountDownLatch allCompleted = new CountDownLatch(1);
    var unused =
        scheduler.scheduleWithFixedDelay(
            () -> {
              if (run.open() == 0) {
                allCompleted.countDown();
              }
            },
            0,
            POLL_MILLIS,
            TimeUnit.MILLISECONDS);
    long timeoutMillis = 2 * (deadlineMillis + 5_000);
    if (!allCompleted.await(timeoutMillis, TimeUnit.MILLISECONDS)) {
      command.commandLine().getErr().println(run.open() + " requests are still open");
    }
  }

  private ExitCode report(LoadReport report, LoadRun run) {
    PrintWriter out = command.commandLine().getOut();
    if (json) {
      out.println(Json.write(report.json()));
    } else {
      report.lines().forEach(out::println);
    }
    out.flush();
    Map<String, Long> kinds = run.statistics().byKind();
    long refused = kinds.getOrDefault("connection-refused", 0L);
    return refused > 0 && refused == run.reported() ? ExitCode.TRY_LATER : ExitCode.OK;
  }
}
