package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.json.Json;
import java.util.Locale;

/**
 * Measures the cost of the configuration in a process by the number of teams. Run by {@code
 * bin/measure-configuration-size}, not by the build. Prints CSV.
 */
public final class ConfigurationCost {
  private static final int PUBLISHES = 60;
  private static final int MEASURED = 20;
  private static final int SERVICES = 20;
  private static final int[] TEAMS = {50, 100, 200, 400, 800};

  private ConfigurationCost() {}

  public static void main(String[] arguments) {
    System.out.println("teams,content_bytes,snapshot_bytes,apply_micros,merge_micros,state_bytes");
    for (int round = 0; round < 2; round++) {
      // The first round is for warm-up.
      boolean printed = round == 1;
      for (int teams : TEAMS) {
        String row = measure(teams);
        if (printed) {
          System.out.println(row);
        }
      }
    }
  }

  private static String measure(int teams) {
    ConfigurationFold fold = new ConfigurationFold(new ConfigurationCheck());
    long before = usedBytes();
    int contentBytes = 0;
    long applyNanos = 0;
    for (int i = 0; i < PUBLISHES; i++) {
      ObjectNode content = content(teams, i);
      contentBytes = Json.bytes(content).length;
      long start = System.nanoTime();
      fold.apply(
          ConfigurationTesting.entry(i, ConfigurationTesting.publish("p" + i, i, "base", content)));
      applyNanos += i >= PUBLISHES - MEASURED ? System.nanoTime() - start : 0;
    }
    long after = usedBytes();
    long start = System.nanoTime();
    for (int i = 0; i < MEASURED; i++) {
      fold.state().configuration("vatulele");
    }
    long mergeNanos = System.nanoTime() - start;
    return String.format(
        Locale.ROOT,
        "%d,%d,%d,%.0f,%.0f,%d",
        teams,
        contentBytes,
        Json.bytes(fold.snapshot()).length,
        applyNanos / 1000.0 / MEASURED,
        mergeNanos / 1000.0 / MEASURED,
        after - before);
  }

  private static ObjectNode content(int teams, int round) {
    ObjectNode content = Json.object();
    ObjectNode teamsNode = content.putObject("teams");
    for (int i = 0; i < teams; i++) {
      teamsNode
          .putObject("team-" + i)
          .put("share", 1 + i % 7)
          .put("maxMilliProcessors", 64_000 + round)
          .put("maxMemoryMebibytes", 262_144);
    }
    ObjectNode services = content.putObject("services");
    for (int i = 0; i < SERVICES; i++) {
      services.putObject("service-" + i).put("maxWaiting", 100 + i).put("targetDelayMillis", 20);
    }
    return content;
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
