package io.marigoldsail.configuration;

/**
 * Configuration of one team that runs tasks.
 *
 * <p>Immutable. The limits apply to the sum of the team's running tasks.
 *
 * @param share the team's weight in the queue, relative to other teams
 * @param maxMilliProcessors maximum processors, in thousandths
 * @param maxMemoryMebibytes maximum memory, in MiB
 * @param maxAccelerators maximum accelerators
 */
public record TeamConfiguration(
    double share, long maxMilliProcessors, long maxMemoryMebibytes, long maxAccelerators) {
  /** Value of a limit that does not apply. */
  public static final long UNLIMITED = Long.MAX_VALUE;

  /** The defaults of a team, also for keys that no file sets. */
  public static final TeamConfiguration DEFAULT =
      new TeamConfiguration(1, UNLIMITED, UNLIMITED, UNLIMITED);
}
