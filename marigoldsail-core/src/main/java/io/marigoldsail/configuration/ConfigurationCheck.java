package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.json.Json;
import io.marigoldsail.json.SchemaCheck;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Checks whether a file may be published: against its schema, and against rules for the effective
 * configuration of every site that it affects.
 *
 * <p>The result depends on the arguments alone, because every process must reach the same result
 * for the same record. Safe for any thread; costs some milliseconds for a large file.
 */
public final class ConfigurationCheck {
  /** Maximum size of a file's content in bytes, written on one line. */
  public static final int MAX_CONTENT_BYTES = 256 * 1024;

  private final SchemaCheck baseSchema =
      SchemaCheck.ofResource(ConfigurationCheck.class, "base.schema.json");
  private final SchemaCheck overlaySchema =
      SchemaCheck.ofResource(ConfigurationCheck.class, "overlay.schema.json");

  /** Creates a check. Keep the instance: compiling the schemas costs some milliseconds. */
  public ConfigurationCheck() {}

  /**
   * Returns the first violation within the file itself, or empty.
   *
   * @param origin the file's name for the operator, with which the failure starts
   * @param file {@code base} or a site
   */
  public Optional<Failure> checkFile(String origin, String file, JsonNode content) {
    if (!ConfigurationFiles.isName(file)) {
      return violation(origin, "name", "must be base or a site in lower case, is \"" + file + "\"");
    }
    if (Json.bytes(content).length > MAX_CONTENT_BYTES) {
      return violation(origin, "content", "is longer than " + MAX_CONTENT_BYTES + " bytes");
    }
    boolean base = file.equals(ConfigurationFiles.BASE);
    Optional<Failure> failure = (base ? baseSchema : overlaySchema).check(origin, content);
    if (failure.isPresent() || base) {
      return failure;
    }
    String site = content.path(ConfigurationFiles.SITE_KEY).asText();
    if (!site.equals(file)) {
      return violation(
          origin, "site", "must be \"" + file + "\" as the file's name, is \"" + site + "\"");
    }
    return Optional.empty();
  }

  /** Returns the first violation at a site that the changed file affects, or empty. */
  Optional<Failure> checkSites(String origin, String file, ConfigurationFiles files) {
    TreeSet<String> sites = new TreeSet<>();
    if (file.equals(ConfigurationFiles.BASE)) {
      sites.addAll(files.sites());
      // The base represents all sites without an overlay.
      sites.add(ConfigurationFiles.BASE);
    } else {
      sites.add(file);
    }
    for (String site : sites) {
      Configuration effective = ConfigurationParser.parse(0, site, files.merged(site));
      Optional<Failure> failure = checkEffective(origin + ": at site " + site, effective);
      if (failure.isPresent()) {
        return failure;
      }
    }
    return Optional.empty();
  }

  private static Optional<Failure> checkEffective(String origin, Configuration effective) {
    for (Map.Entry<String, ServiceConfiguration> named : effective.services().entrySet()) {
      ServiceConfiguration service = named.getValue();
      String key = "services." + named.getKey() + ".";
      if (service.defaultDeadlineMillis() <= service.targetDelayMillis()) {
        return violation(
            origin,
            key + "defaultDeadlineMillis",
            "must be above targetDelayMillis, "
                + (service.targetDelayMillis() + ", is " + service.defaultDeadlineMillis()));
      }
      if (service.tailLatencyGoalMillis() > service.defaultDeadlineMillis()) {
        return violation(
            origin,
            key + "tailLatencyGoalMillis",
            "must be at most defaultDeadlineMillis, "
                + (service.defaultDeadlineMillis() + ", is " + service.tailLatencyGoalMillis()));
      }
    }
    GuardConfiguration guard = effective.guard();
    double weights = guard.tailLatencyWeight() + guard.evictionsWeight() + guard.throughputWeight();
    return weights > 0
        ? Optional.empty()
        : violation(origin, "guard.weights", "at least one weight must be above 0");
  }

  private static Optional<Failure> violation(String origin, String key, String rule) {
    return Optional.of(Failure.of(ErrorKind.INVALID_CONTENT, origin + ": " + key + ": " + rule));
  }
}
