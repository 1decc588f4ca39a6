package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.json.Json;
import java.util.Iterator;
import java.util.Map;

/**
 * JSON merge patch (RFC 7396), which applies an overlay to the base.
 *
 * <p>Objects merge key by key; any other value of the overlay replaces that of the base; null
 * removes it, so that the default applies. Stateless, safe for any thread; does not change its
 * arguments.
 */
final class MergePatch {
  private MergePatch() {}

  /** Returns the target with the patch applied. */
  static JsonNode apply(JsonNode target, JsonNode patch) {
    if (!patch.isObject()) {
      return patch;
    }
    ObjectNode merged = target.isObject() ? target.deepCopy() : Json.object();
    Iterator<Map.Entry<String, JsonNode>> entries = patch.properties().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, JsonNode> entry = entries.next();
      if (entry.getValue().isNull()) {
        merged.remove(entry.getKey());
      } else {
        merged.set(entry.getKey(), apply(merged.path(entry.getKey()), entry.getValue()));
      }
    }
    return merged;
  }
}
