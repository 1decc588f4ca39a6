package io.marigoldsail.configuration;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Tells people what is effective at a site, which file set it, and what a change would do. */
final class ConfigurationView {
  private static final JsonNode ABSENT = TextNode.valueOf("(absent)");

  private ConfigurationView() {}

  /** Returns every effective value of a site, by key. */
  static List<EffectiveValue> effectiveValues(ConfigurationFiles files, String site) {
    Configuration configuration = ConfigurationParser.parse(0, site, files.merged(site));
    List<EffectiveValue> rows = new ArrayList<>();
    collect(files, site, ConfigurationParser.write(configuration), JsonPointer.empty(), "", rows);
    return rows;
  }

  private static void collect(
      ConfigurationFiles files,
      String site,
      JsonNode node,
      JsonPointer pointer,
      String key,
      List<EffectiveValue> rows) {
    if (!node.isObject()) {
      rows.add(new EffectiveValue(key, node, source(files, site, pointer)));
      return;
    }
    for (Map.Entry<String, JsonNode> child : ((ObjectNode) node).properties()) {
      String childKey = key.isEmpty() ? child.getKey() : key + "." + child.getKey();
      JsonPointer childPointer = pointer.appendProperty(child.getKey());
      collect(files, site, child.getValue(), childPointer, childKey, rows);
    }
  }

  /** A null in the overlay removes the base's value, so the default holds and no file is named. */
  private static String source(ConfigurationFiles files, String site, JsonPointer pointer) {
    for (String file : List.of(site, ConfigurationFiles.BASE)) {
      JsonNode content = files.content(file).orElse(null);
      if (content == null) {
        continue;
      }
      JsonPointer rest = pointer;
      JsonNode node = content;
      while (!rest.matches() && node.isObject() && node.has(rest.getMatchingProperty())) {
        node = node.get(rest.getMatchingProperty());
        rest = rest.tail();
      }
      if (node.isNull()) {
        return EffectiveValue.DEFAULT_SOURCE;
      }
      if (rest.matches()) {
        return file;
      }
    }
    return EffectiveValue.DEFAULT_SOURCE;
  }

  /** Returns what differs at a site between two contents, by key. */
  static List<ConfigurationChange> changes(
      ConfigurationFiles before, ConfigurationFiles after, String site) {
    Map<String, EffectiveValue> old = byKey(effectiveValues(before, site));
    Map<String, EffectiveValue> changed = byKey(effectiveValues(after, site));
    TreeSet<String> keys = new TreeSet<>(old.keySet());
    keys.addAll(changed.keySet());
    List<ConfigurationChange> changes = new ArrayList<>();
    for (String key : keys) {
      EffectiveValue absent = new EffectiveValue(key, ABSENT, EffectiveValue.DEFAULT_SOURCE);
      EffectiveValue from = old.getOrDefault(key, absent);
      EffectiveValue to = changed.getOrDefault(key, absent);
      if (!from.value().equals(to.value())) {
        changes.add(
            new ConfigurationChange(key, from.value(), from.source(), to.value(), to.source()));
      }
    }
    return changes;
  }

  private static Map<String, EffectiveValue> byKey(List<EffectiveValue> rows) {
    Map<String, EffectiveValue> byKey = new TreeMap<>();
    rows.forEach(row -> byKey.put(row.key(), row));
    return byKey;
  }
}
