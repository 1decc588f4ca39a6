package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.guard.GuardPolicy;
import io.marigoldsail.job.TeamQuota;
import io.marigoldsail.lease.LeaseTerms;
import java.util.Map;

/**
 * Configured policy for tasks.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param leases the lengths of leases
 * @param quotas the configured quotas by team name
 * @param guard the weights and limits of evictions
 */
public record TaskPolicy(LeaseTerms leases, Map<String, TeamQuota> quotas, GuardPolicy guard) {
  /** The policy of a configuration without task settings. */
  public static final TaskPolicy DEFAULT =
      new TaskPolicy(LeaseTerms.DEFAULT, Map.of(), GuardPolicy.DEFAULT);

  /** Checks and copies the components. */
  public TaskPolicy {
    requireNonNull(leases, "leases");
    quotas = Map.copyOf(quotas);
    requireNonNull(guard, "guard");
  }

  /** Returns the team's quota, or {@link TeamQuota#DEFAULT} if none is configured. */
  public TeamQuota quota(String team) {
    return quotas.getOrDefault(team, TeamQuota.DEFAULT);
  }
}
