package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.guard.GuardPolicy;
import io.marigoldsail.job.TeamQuota;
import io.marigoldsail.lease.LeaseTerms;
import java.util.Map;

/**
 * What the configuration says about tasks.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param leases how long leases last
 * @param quotas what teams may take up, by name
 * @param guard what evictions weigh, and how many there may be
 */
public record TaskPolicy(LeaseTerms leases, Map<String, TeamQuota> quotas, GuardPolicy guard) {
  /** What holds where no configuration says otherwise. */
  public static final TaskPolicy DEFAULT =
      new TaskPolicy(LeaseTerms.DEFAULT, Map.of(), GuardPolicy.DEFAULT);

  /** Checks and copies the components. */
  public TaskPolicy {
    requireNonNull(leases, "leases");
    quotas = Map.copyOf(quotas);
    requireNonNull(guard, "guard");
  }

  /** Returns what the team may take up. */
  public TeamQuota quota(String team) {
    return quotas.getOrDefault(team, TeamQuota.DEFAULT);
  }
}
