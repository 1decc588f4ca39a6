package io.marigoldsail.cli;

import io.marigoldsail.timeline.EventJson;
import io.marigoldsail.timeline.TimedEvent;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(
    name = "timeline",
    mixinStandardHelpOptions = true,
    description = "Shows the events of all processes in causal order.")
final class TimelineCommand implements Callable<Integer> {
  @Mixin private ConnectionOptions connection;
  @Mixin private FilterOptions filter;

  @Option(
      names = {"-f", "--follow"},
      description = "Continue with new events until interrupted.")
  private boolean follow;

  @Option(
      names = "--follow-for",
      defaultValue = "9223372036854775807",
      paramLabel = "MILLIS",
      description = "Stop --follow after this time, in milliseconds.")
  private long followMillis;

  @Option(names = "--last", paramLabel = "N", description = "Only the last N events.")
  private Integer last;

  @Override
  public Integer call() {
    try (OperatorClient client = connection.connect()) {
      TimelineReader reader =
          new TimelineReader(client, filter.filter(), connection.err()::println);
      List<TimedEvent> events = reader.readNew();
      int from = last == null ? 0 : Math.max(0, events.size() - last);
      events.subList(from, events.size()).forEach(this::print);
      if (follow) {
        CausalEventMerger merger = new CausalEventMerger();
        Polling.until(
            () -> {
              merger.add(reader.readNew(), reader.completeUpTo()).forEach(this::print);
              return Optional.<Object>empty();
            },
            followMillis);
        merger.flush().forEach(this::print);
      }
      return ExitCode.OK.code();
    }
  }

  private void print(TimedEvent event) {
    if (connection.json()) {
      connection.printJson(EventJson.write(event));
    } else {
      connection.print(EventFormatter.format(event));
    }
  }
}
