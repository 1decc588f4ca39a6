package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSortedMap;
import io.marigoldsail.json.Json;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * The contents of all files at one revision.
 *
 * <p>Immutable, as long as no node is changed. The file of the base is named {@value #BASE}; the
 * file of an overlay is named after its site.
 */
final class ConfigurationFiles {
  /** The name of the base file. */
  static final String BASE = "base";

  /** The key of an overlay that contains its site. */
  static final String SITE_KEY = "site";

  /** No files. */
  static final ConfigurationFiles NONE = new ConfigurationFiles(ImmutableSortedMap.of());

  /** Names that are paths of the operators' API and therefore not allowed as names of sites. */
  private static final Set<String> RESERVED = Set.of("diff", "history", "in-force", "state");

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  private final ImmutableSortedMap<String, JsonNode> contents;

  private ConfigurationFiles(ImmutableSortedMap<String, JsonNode> contents) {
    this.contents = contents;
  }

  static ConfigurationFiles of(Map<String, JsonNode> contents) {
    return new ConfigurationFiles(ImmutableSortedMap.copyOf(contents));
  }

  static boolean isName(String file) {
    return NAME.matcher(file).matches() && !RESERVED.contains(file);
  }

  ConfigurationFiles with(String file, JsonNode content) {
    ImmutableSortedMap.Builder<String, JsonNode> changed = ImmutableSortedMap.naturalOrder();
    contents.forEach(
        (name, old) -> {
          if (!name.equals(file)) {
            changed.put(name, old);
          }
        });
    return new ConfigurationFiles(changed.put(file, content).build());
  }

  Optional<JsonNode> content(String file) {
    return Optional.ofNullable(contents.get(file));
  }

  ImmutableSortedMap<String, JsonNode> contents() {
    return contents;
  }

  /** Returns the sites that have an overlay. */
  TreeSet<String> sites() {
    TreeSet<String> sites = new TreeSet<>(contents.keySet());
    sites.remove(BASE);
    return sites;
  }

  /** Returns the base with a site's overlay merged in, without the key of the site. */
  ObjectNode merged(String site) {
    JsonNode base = MergePatch.apply(Json.object(), content(BASE).orElse(Json.object()));
    JsonNode overlay = content(site).orElse(Json.object());
    ObjectNode merged = (ObjectNode) MergePatch.apply(base, overlay);
    merged.remove(SITE_KEY);
    return merged;
  }
}
