package io.marigoldsail.configuration;

/**
 * What is configured of one team that runs tasks.
 *
 * <p>Immutable. The limits hold for all running tasks of the team together.
 *
 * @param share the team's weight in the queue, in relation to the other teams'
 * @param maxMilliProcessors processors at most, in thousandths
 * @param maxMemoryMebibytes memory at most, in MiB
 * @param maxAccelerators accelerators at most
 */
public record TeamConfiguration(
    double share, long maxMilliProcessors, long maxMemoryMebibytes, long maxAccelerators) {
  /** What stands for no limit. */
  public static final long UNLIMITED = Long.MAX_VALUE;

  /** What holds for a team, or a key of it, that no file names. */
  public static final TeamConfiguration DEFAULT =
      new TeamConfiguration(1, UNLIMITED, UNLIMITED, UNLIMITED);
}
