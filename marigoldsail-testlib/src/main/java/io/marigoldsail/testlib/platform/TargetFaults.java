package io.marigoldsail.testlib.platform;

/**
 * How a stand-in target behaves just now. Immutable.
 *
 * @param serviceMillis how long a request takes that names no time itself, in milliseconds
 * @param slowness what each service time is multiplied with; 1 for a healthy target
 * @param failStatus the status that every request ends with after it ran; 0 for success
 * @param truncate whether answers are cut short of their announced length
 * @param silent whether requests run but are never answered
 */
public record TargetFaults(
    long serviceMillis, double slowness, int failStatus, boolean truncate, boolean silent) {

  /** Returns a target that answers at once. */
  public static TargetFaults none() {
    return new TargetFaults(0, 1, 0, false, false);
  }

  /** Returns a healthy target with the given service time in milliseconds. */
  public static TargetFaults ofServiceMillis(long serviceMillis) {
    return new TargetFaults(serviceMillis, 1, 0, false, false);
  }
}
