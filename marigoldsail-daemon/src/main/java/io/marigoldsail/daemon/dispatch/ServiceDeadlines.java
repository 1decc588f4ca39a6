package io.marigoldsail.daemon.dispatch;

import java.util.OptionalLong;

/** What the configuration says of deadlines. Safe for any thread. */
@FunctionalInterface
public interface ServiceDeadlines {
  /**
   * Returns how long a request of the service may take where its caller names no deadline.
   *
   * @param service the service's name
   * @return milliseconds, or empty for a service that the configuration does not have
   */
  OptionalLong defaultDeadlineMillis(String service);
}
