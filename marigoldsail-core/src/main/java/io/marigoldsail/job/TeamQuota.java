package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * Fair-share weight and resource limit of a team.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param weight the weight against other teams, positive; if all have waiting tasks, a team with
 *     twice the weight gets twice the share
 * @param limit the maximum resources of all claims of the team
 */
public record TeamQuota(double weight, Sizes limit) {
  /** Quota of a team without a configured one: weight 1, no limit. */
  public static final TeamQuota DEFAULT =
      new TeamQuota(1, new Sizes(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE));

  /** Checks the components. */
  public TeamQuota {
    checkArgument(weight > 0, "weight is not positive: %s", weight);
    requireNonNull(limit, "limit");
  }
}
