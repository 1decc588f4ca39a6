package io.marigoldsail.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Objects;

/** Counts entries and hashes their ids into a number that depends on their order. */
final class CountingFold implements Fold {
  private long count;
  private int orderHash;
  private volatile Runnable onRestore = () -> {};

  void onRestore(Runnable listener) {
    onRestore = listener;
  }

  synchronized long count() {
    return count;
  }

  synchronized String state() {
    return count + "/" + orderHash;
  }

  @Override
  public synchronized void apply(LogEntry entry) {
    count++;
    orderHash = Objects.hash(orderHash, entry.id());
  }

  @Override
  public synchronized JsonNode snapshot() {
    return JsonNodeFactory.instance.objectNode().put("count", count).put("mixed", orderHash);
  }

  @Override
  public synchronized void restore(JsonNode snapshot) {
    count = snapshot.path("count").longValue();
    orderHash = snapshot.path("mixed").intValue();
    onRestore.run();
  }
}
