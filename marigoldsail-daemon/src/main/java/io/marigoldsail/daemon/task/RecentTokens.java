package io.marigoldsail.daemon.task;

import java.util.LinkedHashMap;
import java.util.Map;

/** The last so many fencing tokens added. Not safe for use by several threads. */
final class RecentTokens {
  private final Map<Long, Boolean> tokens;

  RecentTokens(int most) {
    this.tokens =
        new LinkedHashMap<>() {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > most;
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
