package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * What a team may take up.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param share its weight against other teams; twice the weight, twice the share when all wait
 * @param most what its claims may take up in all
 */
public record TeamQuota(double share, Sizes most) {
  /** A team that no configuration names: weight 1, no bound. */
  public static final TeamQuota DEFAULT =
      new TeamQuota(1, new Sizes(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE));

  /** Checks the components. */
  public TeamQuota {
    checkArgument(share > 0, "share is not positive: %s", share);
    requireNonNull(most, "most");
  }
}
