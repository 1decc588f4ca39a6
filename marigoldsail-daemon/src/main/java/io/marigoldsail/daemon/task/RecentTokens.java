package io.marigoldsail.daemon.task;

import java.util.LinkedHashMap;
import java.util.Map;

/** Bounded set of fencing tokens that evicts the oldest. Not thread-safe. */
final class RecentTokens {
  private final Map<Long, Boolean> tokens;

  RecentTokens(int maxTokens) {
    this.tokens =
        new LinkedHashMap<>() {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > maxTokens;
          }
        };
  }

  void add(long token) {
    tokens.put(token, Boolean.TRUE);
  }

  boolean contains(long token) {
    return tokens.containsKey(token);
  }
}
