package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.TreeSet;

/**
 * What a publish would change, by site.
 *
 * <p>Immutable. Rejects nulls. The site {@code base} stands for every site without an overlay.
 *
 * @param revision the revision that the comparison was made at
 * @param sites the changes at each touched site, also where there are none
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
    TreeSet<String> touched = new TreeSet<>();
    touched.add(file);
    if (file.equals(ConfigurationFiles.BASE)) {
      touched.addAll(before.sites());
    }
    ImmutableSortedMap.Builder<String, List<ConfigurationChange>> sites =
        ImmutableSortedMap.naturalOrder();
    for (String site : touched) {
      sites.put(site, List.copyOf(ConfigurationView.changes(before, after, site)));
    }
    return new ConfigurationDiff(state.revision(), sites.build());
  }
}
