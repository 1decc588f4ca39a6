package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The last accepted publishes, bounded in number and in the bytes of their contents.
 *
 * <p>Immutable. The bound holds in a snapshot and in a side process's small heap too; the oldest
 * contents go first, then the oldest publishes.
 *
 * @param versions oldest first
 */
record ConfigurationHistory(List<PublishedVersion> versions) {
  static final int MAX_VERSIONS = 200;
  static final int MAX_CONTENT_BYTES = 512 * 1024;

  static final ConfigurationHistory EMPTY = new ConfigurationHistory(List.of());

  ConfigurationHistory {
    versions = List.copyOf(versions);
  }

  ConfigurationHistory with(PublishedVersion version) {
    List<PublishedVersion> kept = new ArrayList<>();
    int skipped = Math.max(0, versions.size() + 1 - MAX_VERSIONS);
    kept.addAll(versions.subList(skipped, versions.size()));
    kept.add(version);
    long bytes = 0;
    for (int i = kept.size() - 1; i >= 0; i--) {
      Optional<JsonNode> content = kept.get(i).content();
      if (content.isEmpty()) {
        break;
      }
      bytes += Json.bytes(content.get()).length;
      if (bytes > MAX_CONTENT_BYTES) {
        kept.set(i, kept.get(i).withoutContent());
      }
    }
    return new ConfigurationHistory(kept);
  }

  Optional<PublishedVersion> byPublishId(String publishId) {
    return versions.stream().filter(v -> v.publishId().equals(publishId)).findFirst();
  }

  Optional<PublishedVersion> byRevision(long revision) {
    return versions.stream().filter(v -> v.revision() == revision).findFirst();
  }

  Optional<PublishedVersion> lastChangeOf(String file) {
    PublishedVersion last = null;
    for (PublishedVersion version : versions) {
      if (version.file().equals(file)) {
        last = version;
      }
    }
    return Optional.ofNullable(last);
  }
}
