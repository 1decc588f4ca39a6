package io.marigoldsail.testlib.platform;

/**
 * The behaviour and injected faults of a stand-in target. Immutable.
 *
 * @param serviceMillis the service time of requests that set none, in milliseconds
 * @param slowness the factor applied to each service time; 1 for a healthy target
 * @param failStatus the response status of every request after it ran; 0 for success
 * @param truncate whether responses end before their announced length
 * @param silent whether requests run but get no response
 */
public record TargetFaults(
    long serviceMillis, double slowness, int failStatus, boolean truncate, boolean silent) {

  /** Returns a healthy target that responds immediately. */
  public static TargetFaults none() {
    return new TargetFaults(0, 1, 0, false, false);
  }

  /** Returns a healthy target with the given service time in milliseconds. */
  public static TargetFaults ofServiceMillis(long serviceMillis) {
    return new TargetFaults(serviceMillis, 1, 0, false, false);
  }
}
