package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.TreeSet;

/**
 * Effective changes of a publish, by site.
 *
 * <p>Immutable. Rejects nulls. The site {@code base} represents all sites without an overlay.
 *
 * @param revision the revision that the publish was compared with
 * @param sites the changes at each affected site; a list may be empty
 */
public record ConfigurationDiff(
    long revision, ImmutableSortedMap<String, List<ConfigurationChange>> sites) {
  /** Checks the components. */
  public ConfigurationDiff {
    requireNonNull(sites, "sites");
  }

  static ConfigurationDiff of(ConfigurationState state, String file, JsonNode content) {
    ConfigurationFiles before = state.files();
    ConfigurationFiles after = before.with(file, content);
    TreeSet<String> affected = new TreeSet<>();
    affected.add(file);
    if (file.equals(ConfigurationFiles.BASE)) {
      affected.addAll(before.sites());
    }
    ImmutableSortedMap.Builder<String, List<ConfigurationChange>> sites =
        ImmutableSortedMap.naturalOrder();
    for (String site : affected) {
      sites.put(site, List.copyOf(ConfigurationView.changes(before, after, site)));
    }
    return new ConfigurationDiff(state.revision(), sites.build());
  }
}
