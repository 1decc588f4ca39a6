package io.marigoldsail.daemon.dispatch;

import java.util.OptionalLong;

/** The configured default deadlines of services. Safe for any thread. */
@FunctionalInterface
public interface ServiceDeadlines {
  /**
   * Returns the deadline of requests whose caller sets none.
   *
   * @param service the service's name
   * @return milliseconds from arrival, or empty for a service that is not configured
   */
  OptionalLong defaultDeadlineMillis(String service);
}
