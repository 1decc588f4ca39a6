package io.marigoldsail.daemon;

import io.marigoldsail.configuration.Configuration;
import io.marigoldsail.configuration.GuardConfiguration;
import io.marigoldsail.configuration.ServiceConfiguration;
import io.marigoldsail.configuration.TeamConfiguration;
import io.marigoldsail.daemon.task.TaskPolicy;
import io.marigoldsail.dispatch.SchedulerSettings;
import io.marigoldsail.dispatch.ServiceLimits;
import io.marigoldsail.guard.GuardPolicy;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TeamQuota;
import io.marigoldsail.lease.LeaseTerms;
import java.util.HashMap;
import java.util.Map;

/** Turns the configuration in force into what the decision modules take. */
final class ConfiguredPolicies {

  private ConfiguredPolicies() {}

  static SchedulerSettings scheduler(Configuration configuration, String zone) {
    Map<String, ServiceLimits> services = new HashMap<>();
    configuration.services().forEach((name, service) -> services.put(name, limits(service)));
    return new SchedulerSettings(zone, limits(ServiceConfiguration.DEFAULT), services);
  }

  private static ServiceLimits limits(ServiceConfiguration service) {
    return new ServiceLimits(service.targetDelayMillis(), service.maxWaiting());
  }

  static TaskPolicy tasks(Configuration configuration) {
    Map<String, TeamQuota> quotas = new HashMap<>();
    configuration.teams().forEach((name, team) -> quotas.put(name, quota(team)));
    LeaseTerms leases =
        new LeaseTerms(
            configuration.leases().latencyCriticalMillis(),
            configuration.leases().batchMillis(),
            LeaseTerms.DEFAULT.silenceMillis());
    return new TaskPolicy(leases, quotas, guard(configuration));
  }

  static GuardPolicy guard(Configuration configuration) {
    GuardConfiguration guard = configuration.guard();
    return new GuardPolicy(
        guard.tailLatencyWeight(),
        guard.evictionsWeight(),
        guard.throughputWeight(),
        guard.evictionsPerHour());
  }

  private static TeamQuota quota(TeamConfiguration team) {
    long memory =
        team.maxMemoryMebibytes() > Long.MAX_VALUE / Sizes.BYTES_PER_MEBIBYTE
            ? Long.MAX_VALUE
            : team.maxMemoryMebibytes() * Sizes.BYTES_PER_MEBIBYTE;
    return new TeamQuota(
        team.share(), new Sizes(team.maxMilliProcessors(), memory, team.maxAccelerators()));
  }
}
