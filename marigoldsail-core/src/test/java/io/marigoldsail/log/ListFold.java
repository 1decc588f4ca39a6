package io.marigoldsail.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;

/** A fold that stores the ids of its entries in order; an entry of type {@code broken} throws. */
final class ListFold implements Fold {
  private final List<String> ids = new ArrayList<>();

  synchronized List<String> ids() {
    return List.copyOf(ids);
  }

  @Override
  public synchronized void apply(LogEntry entry) {
    if (entry.type().equals("broken")) {
      throw new IllegalStateException("broken entry");
    }
    ids.add(entry.id());
  }

  @Override
  public synchronized JsonNode snapshot() {
    ArrayNode all = JsonNodeFactory.instance.arrayNode();
    ids.forEach(all::add);
    return all;
  }

  @Override
  public synchronized void restore(JsonNode snapshot) {
    ids.clear();
    snapshot.forEach(id -> ids.add(id.textValue()));
  }
}
