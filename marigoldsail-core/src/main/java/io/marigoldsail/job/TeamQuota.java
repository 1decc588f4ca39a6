package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * What a team may take up.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param weight its weight against other teams; twice the weight, twice the share when all wait
 * @param limit what its claims may take up in all
 */
public record TeamQuota(double weight, Sizes limit) {
  /** A team that no configuration names: weight 1, no bound. */
  public static final TeamQuota DEFAULT =
      new TeamQuota(1, new Sizes(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE));

  /** Checks the components. */
  public TeamQuota {
    checkArgument(weight > 0, "share is not positive: %s", weight);
    requireNonNull(limit, "most");
  }
}
